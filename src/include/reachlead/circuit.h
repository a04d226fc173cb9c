// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The circuit breaker of one upstream, implemented as a Boost.MSM state machine.

#pragma once

#include <memory>

#include <reachlead/clock.h>

namespace reachlead {

/// Stops sending requests to an upstream that fails repeatedly. Not thread-safe.
///
/// Closed: requests are allowed. Open: none are allowed until the open duration has elapsed.
/// Half-open: one request is allowed as a probe; its result closes or reopens the circuit.
class Circuit
{
public:
    /// Consecutive failures that open the circuit.
    static constexpr unsigned failuresToOpen = 3;
    /// How long the circuit stays open the first time; doubles up to the maximum.
    static constexpr Duration initialOpenDuration = seconds(1);
    static constexpr Duration maxOpenDuration = seconds(30);

    struct Settings
    {
        unsigned failuresToOpen = Circuit::failuresToOpen; ///< consecutive
        Duration initialOpenDuration = Circuit::initialOpenDuration; ///< then doubles
        Duration maxOpenDuration = Circuit::maxOpenDuration;
    };

    Circuit();
    explicit Circuit(const Settings &settings);
    ~Circuit();
    Circuit(Circuit &&) noexcept;
    Circuit &operator=(Circuit &&) noexcept;

    /// True when a request may be sent now.
    bool allows(Time now);

    /// A request was sent.
    void sent();

    /// A request succeeded.
    void succeeded();

    /// A request failed at the upstream.
    void failed(Time now);

    /// The upstream's address refused a connection, as no process listens there: opens at once.
    void connectionRefused(Time now);

    /// A request ended with no information on the upstream's health, for example because its
    /// caller disconnected.
    void abandoned();

    /// `closed`, `open` or `half-open`.
    const char *state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead

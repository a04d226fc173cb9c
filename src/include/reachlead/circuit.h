// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The circuit breaker before one upstream: a Boost.MSM machine behind a plain face.

#pragma once

#include <memory>

#include <reachlead/clock.h>

namespace reachlead {

/// Keeps requests from an upstream that fails again and again. Not thread-safe.
///
/// Closed: requests pass. Open: none pass until the pause ends. Half-open: one request passes as
/// a probe; its end closes or opens the circuit.
class Circuit
{
public:
    /// Failures in a row that open the circuit.
    static constexpr unsigned failuresToOpen = 3;
    /// The first pause; it doubles up to the longest.
    static constexpr Duration initialOpenDuration = seconds(1);
    static constexpr Duration maxOpenDuration = seconds(30);

    /// How soon it opens, and for how long.
    struct Settings
    {
        unsigned failuresToOpen = Circuit::failuresToOpen; ///< in a row
        Duration initialOpenDuration = Circuit::initialOpenDuration; ///< doubles up to longestPause
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

    /// A request ended well.
    void succeeded();

    /// A request failed at the upstream.
    void failed(Time now);

    /// Nobody listens at the upstream's address: opens at once.
    void connectionRefused(Time now);

    /// A request ended without word on the upstream's health, as when its caller went away.
    void abandoned();

    /// `closed`, `open` or `half-open`.
    const char *state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead

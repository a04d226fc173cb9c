// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Observed speed of the upstreams of a service.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Observations of a service's upstreams over some time.
struct RateSample
{
    TokenCount prefillTokens =
        0; ///< prefilled until the first events of calls, queued tokens included
    std::uint32_t prefillMs = 0; ///< time that the prefill took
    std::uint32_t calls = 0; ///< completed calls
    std::uint32_t callMs = 0; ///< total time that these calls occupied a slot

    bool empty() const { return prefillMs == 0 && calls == 0; }
    RateSample &operator+=(const RateSample &other);

    template <class Archive> void serialize(Archive &ar)
    {
        ar(prefillTokens, prefillMs, calls, callMs);
    }
};

/// Learns the speed of a service's upstreams and predicts waits from it. Not thread-safe, reads no
/// clock.
///
/// An engine prefills prompts in chunks between the decode steps of its other streams, so its speed
/// depends on its load and model. The initial value is only a starting point.
class ServiceRate
{
public:
    /// \p tokensPerMs is the assumed prefill speed until the first observation.
    explicit ServiceRate(double tokensPerMs) : m_tokensPerMs(tokensPerMs) { }

    void addSample(const RateSample &sample);

    /// Predicts the time to the first event of a call with \p prefillTokens of its own on an
    /// upstream with \p queuedTokens to be prefilled, \p running calls and \p slots. \p tokensPerMs
    /// is the upstream's own speed; none: that of the service.
    Duration predictWait(TokenCount queuedTokens, std::uint32_t running, unsigned slots,
                         TokenCount prefillTokens,
                         std::optional<double> tokensPerMs = std::nullopt) const;

    double tokensPerMs() const { return m_tokensPerMs; }

    /// Minimum prefill of a call for its sample to count: a few chunks of an engine. Shorter ones
    /// do not show the speed.
    static constexpr TokenCount minSampleTokens = 8192;
    /// Prefill time whose samples replace most of the estimate: a few seconds of one engine.
    static constexpr Duration prefillWindow = seconds(4);
    /// Number of calls whose samples replace most of the estimated call duration.
    static constexpr double callWindow = 20.0;

private:
    double m_tokensPerMs;
    double m_callMs = 0; ///< mean time that a call occupies a slot; 0: no sample yet
};

} // namespace reachlead

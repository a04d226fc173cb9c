// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How fast the upstreams of a service work, as seen from outside.

#pragma once

#include <cstdint>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// What was seen of a service's upstreams in some time.
struct RateSample
{
    TokenCount tokens = 0; ///< that engines read until a call's first event, all in front included
    std::uint32_t readMs = 0; ///< that it took them
    std::uint32_t calls = 0; ///< that ran to their end
    std::uint32_t callMs = 0; ///< that they held a place, summed

    bool empty() const { return readMs == 0 && calls == 0; }
    RateSample &operator+=(const RateSample &other);

    template <class Archive> void serialize(Archive &ar) { ar(tokens, readMs, calls, callMs); }
};

/// Learns the pace of a service's upstreams and predicts by it. Not thread-safe, reads no clock.
///
/// An engine reads prompts in chunks between the tokens of the streams beside, so its speed follows
/// its load and its kind; what is taken at first is only where learning begins.
class ServiceRate
{
public:
    /// \p tokensPerMs is what engines are taken to read until they were seen.
    explicit ServiceRate(double tokensPerMs) : m_tokensPerMs(tokensPerMs) { }

    void note(const RateSample &sample);

    /// The time to the first event of a call with \p unread tokens that is sent to an upstream with
    /// \p waiting tokens to be read, \p running calls and \p slots places.
    Duration waitFor(TokenCount waiting, std::uint32_t running, unsigned slots,
                     TokenCount unread) const;

    double tokensPerMs() const { return m_tokensPerMs; }

    /// A call shows the speed only when it had this much to wait for: some chunks of an engine.
    static constexpr TokenCount leastTokens = 8192;
    /// Reading that replaces most of what was believed: some seconds of one engine.
    static constexpr Duration readingMemory = seconds(4);
    /// Calls that replace most of what was believed of how long they hold a place.
    static constexpr double callMemory = 20.0;

private:
    double m_tokensPerMs;
    double m_callMs = 0; ///< that a call holds its place; 0: nothing was seen yet
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams that this gateway must not call for a while.

#pragma once

#include <algorithm>
#include <unordered_map>

#include <reachlead/clock.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// The backoffs that upstreams requested from this gateway. Not thread-safe, reads no clock.
///
/// Load pattern: an upstream that refuses calls at once has none running, so it looks the least
/// loaded, and the more it refuses the more calls it gets. A backoff applies between one
/// incarnation of an upstream and one gateway; other gateways may still call it.
class UpstreamBackoffs
{
public:
    /// Upper bound: a longer backoff from a misconfigured upstream would take it out of use
    /// permanently.
    static constexpr Duration maxBackoff = std::chrono::hours(1);

    /// Records that the upstream refused a call and requested a backoff of \p retryAfter. Never
    /// shortens a backoff, because the answers of concurrent calls arrive in any order.
    void add(const UpstreamId &id, Duration retryAfter, Time now)
    {
        Time &until = m_until[id];
        until = std::max(until, now + std::min(retryAfter, maxBackoff));
    }

    bool isBackedOff(const UpstreamId &id, Time now) const
    {
        const auto it = m_until.find(id);
        return it != m_until.end() && now < it->second;
    }

    /// True if no upstream is backed off.
    bool isEmpty() const { return m_until.empty(); }

    /// Removes expired backoffs.
    void dropExpired(Time now)
    {
        std::erase_if(m_until, [&](const auto &it) { return it.second <= now; });
    }

private:
    std::unordered_map<UpstreamId, Time> m_until;
};

} // namespace reachlead

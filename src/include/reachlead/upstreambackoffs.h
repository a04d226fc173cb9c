// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams that this gateway is not to call for a while.

#pragma once

#include <algorithm>
#include <unordered_map>

#include <reachlead/clock.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// The backoffs that upstreams asked this gateway for. Not thread-safe, reads no clock.
///
/// The load pattern it answers: an upstream that turns calls away at once has nothing under way, so
/// it looks the least loaded, and the more it refuses the more it gets. A backoff is between one
/// upstream's life and one gateway: others may still have its leave.
class UpstreamBackoffs
{
public:
    /// A longer one would take an upstream out of use for good by a slip of its settings.
    static constexpr Duration maxBackoff = std::chrono::hours(1);

    /// The upstream turned a call away and wants none for \p retryAfter. It never shortens a
    /// backoff: the answers of calls that were under way together come in any order.
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

    /// No upstream is backed off.
    bool isEmpty() const { return m_until.empty(); }

    /// Drops the backoffs that are over.
    void dropExpired(Time now)
    {
        std::erase_if(m_until, [&](const auto &it) { return it.second <= now; });
    }

private:
    std::unordered_map<UpstreamId, Time> m_until;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams that said in an answer that they leave.

#pragma once

#include <functional>
#include <map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// Remembers which lives of upstreams leave. Not thread-safe, reads no clock.
///
/// An upstream that leaves never stays after all: what its registry entry says meanwhile is older,
/// or was written by another thread of the same process. Only its next life takes work again.
class LeavingUpstreams
{
public:
    /// An upstream is remembered as long as the registry names it, and this long at least: an entry
    /// that lapsed with the registry may come back.
    static constexpr Duration rememberFor = std::chrono::minutes(10);
    /// What is new is passed on to other gateways for this long.
    static constexpr Duration tellSpan = seconds(30);

    /// True when that was not known.
    bool add(const UpstreamId &id, Time now) { return m_since.emplace(id, now).second; }

    bool contains(const UpstreamId &id) const { return m_since.contains(id); }

    /// What is to be passed on.
    std::vector<UpstreamId> recent(Time now) const;

    /// Drops those that are neither young nor \p isRegistered.
    void dropExpired(Time now, const std::function<bool(const UpstreamId &)> &isRegistered);

private:
    std::map<UpstreamId, Time> m_since;
};

} // namespace reachlead

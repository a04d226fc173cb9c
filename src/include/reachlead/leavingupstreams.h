// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Upstreams that announced in an answer that they are leaving.

#pragma once

#include <functional>
#include <map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// Records which incarnations of upstreams are leaving. Not thread-safe, reads no clock.
///
/// An upstream never revokes its leaving: a registry entry that contradicts it is older, or was
/// written by another thread of the same process. Only its next incarnation takes calls again.
class LeavingUpstreams
{
public:
    /// An upstream is remembered while the registry lists it, and at least for this long, because
    /// an entry that the registry lost may come back.
    static constexpr Duration minRetention = std::chrono::minutes(10);
    /// New upstreams are reported to other gateways for this long.
    static constexpr Duration reportWindow = seconds(30);

    /// Returns true if the upstream was not known to be leaving.
    bool add(const UpstreamId &id, Time now) { return m_since.emplace(id, now).second; }

    bool contains(const UpstreamId &id) const { return m_since.contains(id); }

    /// Upstreams to report to other gateways.
    std::vector<UpstreamId> recent(Time now) const;

    /// Removes upstreams that are past retention and not \p isRegistered.
    void dropExpired(Time now, const std::function<bool(const UpstreamId &)> &isRegistered);

private:
    std::map<UpstreamId, Time> m_since;
};

} // namespace reachlead

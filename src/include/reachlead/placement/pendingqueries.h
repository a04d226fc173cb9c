// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A gateway's queries to the gateways that place its calls.

#pragma once

#include <map>
#include <optional>
#include <set>

#include <reachlead/placement/placementgroups.h>
#include <reachlead/placement/unresponsivegateways.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Selects the gateway to query and assigns query ids. Not thread-safe, reads no clock.
///
/// A gateway that did not reply is skipped for a while, and the next one in rendezvous order is
/// queried. For a moment two gateways may thus place calls of one group, which only makes their
/// selections worse.
class PendingQueries
{
public:
    explicit PendingQueries(VmName self) : m_self(std::move(self)) { }

    /// The gateway to query for a group: one of \p strong, or of \p all if those are all
    /// unresponsive. May be this gateway.
    VmName schedulerFor(const GroupName &group, const std::set<VmName> &strong,
                        const std::set<VmName> &all, Time now) const;

    /// Adds a query to \p scheduler and returns its id.
    QueryId open(const VmName &scheduler);

    /// A reply arrived, in time or late. False if no query with this id to \p scheduler is pending.
    bool replyReceived(QueryId id, const VmName &scheduler);

    /// The query's outcome is included in this gateway's own load, or never will be.
    void conclude(QueryId id) { m_pending.erase(id); }

    /// No reply arrived in time, or the scheduler declined.
    void queryFailed(QueryId id, Time now);

    /// A scheduler at which calls of this gateway wait no longer answers, or hands them back.
    void schedulerLost(const VmName &scheduler, Time now)
    {
        m_unresponsive.recordFailure(scheduler, now);
    }

    /// The id of the oldest pending query, or the next id to be assigned if none is pending.
    QueryId oldestPendingQuery() const;

    std::size_t pendingCount() const { return m_pending.size(); }

private:
    VmName m_self;
    QueryId m_lastId = 0;
    std::map<QueryId, VmName> m_pending;
    UnresponsiveGateways m_unresponsive;
};

} // namespace reachlead

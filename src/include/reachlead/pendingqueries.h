// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The questions of a gateway about where its calls are to be placed.

#pragma once

#include <map>
#include <optional>
#include <set>

#include <reachlead/placementgroups.h>
#include <reachlead/unresponsivegateways.h>
#include <reachlead/upstreamtable.h>

namespace reachlead {

/// Decides whom to ask, and numbers the questions. Not thread-safe, reads no clock.
///
/// Nobody is relied on: a gateway that did not answer is passed over for a while, and the next in
/// rank is asked. So for moments two gateways may place for one group, which only makes their
/// choices worse.
class PendingQueries
{
public:
    explicit PendingQueries(VmName self) : m_self(std::move(self)) { }

    /// The gateway to ask for a group, of the \p strong ones, or of \p all if these are silent; it
    /// may be this one.
    VmName schedulerFor(const GroupName &group, const std::set<VmName> &strong,
                        const std::set<VmName> &all, Time now) const;

    /// A question is asked of \p scheduler; its number.
    QueryId open(const VmName &scheduler);

    /// An answer came, in time or not. False for a question that is not open any more.
    bool replyReceived(QueryId number, const VmName &scheduler);

    /// The question's outcome is in this gateway's own load, or will never be.
    void conclude(QueryId number) { m_open.erase(number); }

    /// No answer came in time, or the scheduler declined.
    void queryFailed(QueryId number, Time now);

    /// All questions before this one are concluded.
    QueryId oldestPendingQuery() const;

    std::size_t pendingCount() const { return m_open.size(); }

private:
    VmName m_self;
    QueryId m_last = 0;
    std::map<QueryId, VmName> m_open;
    UnresponsiveGateways m_silent;
};

} // namespace reachlead

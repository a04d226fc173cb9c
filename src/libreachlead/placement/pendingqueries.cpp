// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/pendingqueries.h>

#include <algorithm>
#include <iterator>

namespace reachlead {

VmName PendingQueries::schedulerFor(const GroupName &group, const std::set<VmName> &strong,
                                    const std::set<VmName> &all, Time now) const
{
    if (!strong.empty() && !m_unresponsive.hasAny(now))
        return *electScheduler(group, strong);
    const auto isResponsive = [&](const VmName &vm) {
        return vm == m_self || !m_unresponsive.isUnresponsive(vm, now);
    };
    std::set<VmName> candidates;
    std::ranges::copy_if(strong, std::inserter(candidates, candidates.end()), isResponsive);
    if (candidates.empty())
        std::ranges::copy_if(all, std::inserter(candidates, candidates.end()), isResponsive);
    return electScheduler(group, candidates).value_or(m_self);
}

QueryId PendingQueries::open(const VmName &scheduler)
{
    m_pending.emplace(++m_lastId, scheduler);
    return m_lastId;
}

bool PendingQueries::replyReceived(QueryId id, const VmName &scheduler)
{
    m_unresponsive.recordReply(scheduler);
    const auto it = m_pending.find(id);
    return it != m_pending.end() && it->second == scheduler;
}

void PendingQueries::queryFailed(QueryId id, Time now)
{
    if (const auto it = m_pending.find(id); it != m_pending.end())
        m_unresponsive.recordFailure(it->second, now);
    conclude(id);
}

QueryId PendingQueries::oldestPendingQuery() const
{
    return m_pending.empty() ? m_lastId + 1 : m_pending.begin()->first;
}

} // namespace reachlead

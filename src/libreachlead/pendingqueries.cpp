// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/pendingqueries.h>

#include <algorithm>
#include <iterator>

namespace reachlead {

VmName PendingQueries::schedulerFor(const GroupName &group, const std::set<VmName> &strong,
                                    const std::set<VmName> &all, Time now) const
{
    if (!strong.empty() && !m_silent.hasAny(now))
        return *electScheduler(group, strong);
    const auto isAwake = [&](const VmName &vm) {
        return vm == m_self || !m_silent.isUnresponsive(vm, now);
    };
    std::set<VmName> asked;
    std::ranges::copy_if(strong, std::inserter(asked, asked.end()), isAwake);
    if (asked.empty())
        std::ranges::copy_if(all, std::inserter(asked, asked.end()), isAwake);
    return electScheduler(group, asked).value_or(m_self);
}

QueryId PendingQueries::open(const VmName &scheduler)
{
    m_open.emplace(++m_last, scheduler);
    return m_last;
}

bool PendingQueries::replyReceived(QueryId number, const VmName &scheduler)
{
    m_silent.recordReply(scheduler);
    const auto it = m_open.find(number);
    return it != m_open.end() && it->second == scheduler;
}

void PendingQueries::queryFailed(QueryId number, Time now)
{
    if (const auto it = m_open.find(number); it != m_open.end())
        m_silent.recordFailure(it->second, now);
    conclude(number);
}

QueryId PendingQueries::oldestPendingQuery() const
{
    return m_open.empty() ? m_last + 1 : m_open.begin()->first;
}

} // namespace reachlead

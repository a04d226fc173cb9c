// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/openasks.h>

#include <algorithm>
#include <iterator>

namespace reachlead {

VmName OpenAsks::schedulerFor(const GroupName &group, const std::set<VmName> &known, Time now) const
{
    std::set<VmName> asked{m_self};
    std::ranges::copy_if(known, std::inserter(asked, asked.end()),
                         [&](const VmName &vm) { return !m_silent.isSilent(vm, now); });
    return *schedulerOf(group, asked);
}

AskNumber OpenAsks::open(const VmName &scheduler)
{
    m_open.emplace(++m_last, scheduler);
    return m_last;
}

bool OpenAsks::answered(AskNumber number, const VmName &scheduler)
{
    m_silent.answered(scheduler);
    const auto it = m_open.find(number);
    return it != m_open.end() && it->second == scheduler;
}

void OpenAsks::missed(AskNumber number, Time now)
{
    if (const auto it = m_open.find(number); it != m_open.end())
        m_silent.missed(it->second, now);
    conclude(number);
}

AskNumber OpenAsks::openFrom() const
{
    return m_open.empty() ? m_last + 1 : m_open.begin()->first;
}

} // namespace reachlead

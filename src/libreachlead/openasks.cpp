// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/openasks.h>

#include <algorithm>

namespace reachlead {

VmName OpenAsks::schedulerFor(const GroupName &group, const std::map<VmName, MilliCores> &known,
                              Time now) const
{
    std::map<VmName, MilliCores> asked{{m_self, 0}};
    for (const auto &[vm, cores] : known) {
        if (vm == m_self || !m_silent.isSilent(vm, now))
            asked.insert_or_assign(vm, cores);
    }
    return *schedulerOf(group, strongestOf(asked));
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

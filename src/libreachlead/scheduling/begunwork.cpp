// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/scheduling/begunwork.h>

#include <algorithm>

namespace reachlead {

namespace {

/// Share of all work that a rank is assumed to get while more urgent ones have used everything.
constexpr double minShare = 0.02;

} // namespace

void BegunWork::add(unsigned urgencyRank, double units, Time now)
{
    m_entries.push_back({now, urgencyRank, units});
    while (m_entries.front().at + window <= now)
        m_entries.pop_front();
}

std::optional<double> BegunWork::rate(unsigned urgencyRank, Time now) const
{
    double all = 0;
    double usable = 0;
    for (const Entry &entry : m_entries) {
        if (entry.at + window <= now)
            continue;
        all += entry.units;
        usable += entry.urgencyRank >= urgencyRank ? entry.units : 0;
    }
    if (all <= 0)
        return std::nullopt;
    return std::max(usable, all * minShare) / toSeconds(window);
}

} // namespace reachlead

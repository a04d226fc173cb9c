// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/usagetable.h>

#include <algorithm>
#include <chrono>
#include <ranges>

namespace reachlead {

namespace {

std::int64_t millisOf(Duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

} // namespace

WindowNumber UsageTable::windowAt(UnixMillis at) const
{
    return at / millisOf(m_span);
}

UnixMillis UsageTable::windowEnd(WindowNumber window) const
{
    return (window + 1) * millisOf(m_span);
}

void UsageTable::countCall(const AccountName &account, UnixMillis at)
{
    ++m_windows[windowAt(at)][m_self].counts[account];
}

void UsageTable::merge(const WindowUsage &told)
{
    if (told.gateway == m_self)
        return;
    Kept &known = m_windows[told.window][told.gateway];
    known.isFinal = known.isFinal || told.isFinal;
    for (const auto &[account, n] : told.counts) {
        std::uint32_t &count = known.counts[account];
        count = std::max(count, n);
    }
}

WindowUsage UsageTable::ownUsage(WindowNumber window, UnixMillis now) const
{
    WindowUsage told{m_self, window, windowEnd(window) + millisOf(settleTime) <= now, {}};
    if (const auto it = m_windows.find(window); it != m_windows.end()) {
        if (const auto own = it->second.find(m_self); own != it->second.end())
            told.counts = own->second.counts;
    }
    return told;
}

std::vector<WindowUsage> UsageTable::exitedUsage(const std::set<GatewayIncarnation> &live,
                                                 WindowNumber window) const
{
    std::vector<WindowUsage> ended;
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return ended;
    for (const auto &[life, kept] : it->second) {
        if (life != m_self && !live.contains(life))
            ended.push_back({life, window, kept.isFinal, kept.counts});
    }
    return ended;
}

UsageCounts UsageTable::total(WindowNumber window) const
{
    UsageCounts sum;
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return sum;
    for (const Kept &kept : it->second | std::views::values) {
        for (const auto &[account, n] : kept.counts)
            sum[account] += n;
    }
    return sum;
}

bool UsageTable::isFinal(const GatewayIncarnation &life, WindowNumber window) const
{
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return false;
    const auto kept = it->second.find(life);
    return kept != it->second.end() && kept->second.isFinal;
}

void UsageTable::dropBefore(WindowNumber window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/usagetable.h>

#include <algorithm>
#include <chrono>
#include <ranges>

namespace reachlead {

namespace {

std::int64_t wholeMillis(Duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

} // namespace

WindowNumber UsageTable::windowAt(UnixMillis at) const
{
    return at / wholeMillis(m_windowLength);
}

UnixMillis UsageTable::windowEnd(WindowNumber window) const
{
    return (window + 1) * wholeMillis(m_windowLength);
}

void UsageTable::countCall(const AccountName &account, UnixMillis at)
{
    ++m_windows[windowAt(at)][m_self].counts[account];
}

void UsageTable::merge(const WindowUsage &usage)
{
    if (usage.gateway == m_self)
        return;
    Entry &entry = m_windows[usage.window][usage.gateway];
    entry.isFinal = entry.isFinal || usage.isFinal;
    for (const auto &[account, n] : usage.counts) {
        std::uint32_t &count = entry.counts[account];
        count = std::max(count, n);
    }
}

WindowUsage UsageTable::ownUsage(WindowNumber window, UnixMillis now) const
{
    WindowUsage usage{m_self, window, windowEnd(window) + wholeMillis(settleTime) <= now, {}};
    if (const auto it = m_windows.find(window); it != m_windows.end()) {
        if (const auto own = it->second.find(m_self); own != it->second.end())
            usage.counts = own->second.counts;
    }
    return usage;
}

std::vector<WindowUsage> UsageTable::exitedUsage(const std::set<GatewayIncarnation> &live,
                                                 WindowNumber window) const
{
    std::vector<WindowUsage> exited;
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return exited;
    for (const auto &[gateway, entry] : it->second) {
        if (gateway != m_self && !live.contains(gateway))
            exited.push_back({gateway, window, entry.isFinal, entry.counts});
    }
    return exited;
}

UsageCounts UsageTable::total(WindowNumber window) const
{
    UsageCounts sum;
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return sum;
    for (const Entry &entry : it->second | std::views::values) {
        for (const auto &[account, n] : entry.counts)
            sum[account] += n;
    }
    return sum;
}

bool UsageTable::isFinal(const GatewayIncarnation &gateway, WindowNumber window) const
{
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return false;
    const auto entry = it->second.find(gateway);
    return entry != it->second.end() && entry->second.isFinal;
}

void UsageTable::dropBefore(WindowNumber window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace reachlead

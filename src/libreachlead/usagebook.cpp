// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/usagebook.h>

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

WindowNumber UsageBook::windowOf(UnixMillis at) const
{
    return at / millisOf(m_span);
}

UnixMillis UsageBook::endOf(WindowNumber window) const
{
    return (window + 1) * millisOf(m_span);
}

void UsageBook::began(const AccountName &account, UnixMillis at)
{
    ++m_windows[windowOf(at)][m_self].counts[account];
}

void UsageBook::learn(const WindowUsage &told)
{
    if (told.life == m_self)
        return;
    Kept &known = m_windows[told.window][told.life];
    known.isFinal = known.isFinal || told.isFinal;
    for (const auto &[account, n] : told.counts) {
        std::uint32_t &count = known.counts[account];
        count = std::max(count, n);
    }
}

WindowUsage UsageBook::own(WindowNumber window, UnixMillis now) const
{
    WindowUsage told{m_self, window, endOf(window) + millisOf(settleTime) <= now, {}};
    if (const auto it = m_windows.find(window); it != m_windows.end()) {
        if (const auto own = it->second.find(m_self); own != it->second.end())
            told.counts = own->second.counts;
    }
    return told;
}

std::vector<WindowUsage> UsageBook::ofEnded(const std::set<GatewayLife> &live,
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

UsageCounts UsageBook::total(WindowNumber window) const
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

bool UsageBook::isFinal(const GatewayLife &life, WindowNumber window) const
{
    const auto it = m_windows.find(window);
    if (it == m_windows.end())
        return false;
    const auto kept = it->second.find(life);
    return kept != it->second.end() && kept->second.isFinal;
}

void UsageBook::dropBefore(WindowNumber window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/fleettime.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <vector>

namespace reachlead {

namespace {

std::int64_t steadyMillis(Time at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace

UnixMillis vmTimeOfDay()
{
    if (RuntimeClock::paused())
        return steadyMillis(RuntimeClock::now());
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

void FleetTime::recordClock(const VmName &vm, UnixMillis clock, Time at)
{
    m_clocks[vm] = {clock - steadyMillis(at), at};
    updateMedian();
}

void FleetTime::updateMedian()
{
    if (m_clocks.empty())
        return;
    std::vector<std::int64_t> offsets;
    offsets.reserve(m_clocks.size());
    std::ranges::transform(m_clocks | std::views::values, std::back_inserter(offsets),
                           &Clock::offsetMs);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    m_offsetMs = *middle;
}

UnixMillis FleetTime::at(Time at) const
{
    return m_clocks.empty() ? 0 : m_offsetMs + steadyMillis(at);
}

void FleetTime::dropOld(Time now)
{
    std::erase_if(m_clocks,
                  [&](const auto &it) { return it.second.lastReceived + maxClockAge < now; });
    updateMedian();
}

} // namespace reachlead

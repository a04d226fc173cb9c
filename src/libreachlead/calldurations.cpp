// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/calldurations.h>

#include <algorithm>

namespace reachlead {

void CallDurations::record(const ServiceName &service, Duration duration)
{
    if (m_averages.size() >= maxServices && !m_averages.contains(service))
        return;
    Average &it = m_averages[service];
    ++it.calls;
    it.value += (duration - it.value) / std::min<int>(weight, static_cast<int>(it.calls));
    it.calls = std::min(it.calls, static_cast<unsigned>(weight));
}

std::optional<Duration> CallDurations::average(const ServiceName &service) const
{
    const auto it = m_averages.find(service);
    if (it == m_averages.end() || it->second.calls < minCalls)
        return std::nullopt;
    return it->second.value;
}

} // namespace reachlead

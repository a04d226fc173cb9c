// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamlimits.h>

namespace reachlead {

bool UpstreamLimits::heard(const UpstreamId &id, std::optional<CallRate> limit, Time now)
{
    const std::optional<CallRate> before = of(id, now);
    const auto it = m_heard.find(id);
    if (limit)
        m_heard.insert_or_assign(id, Heard{limit, now});
    else if (it != m_heard.end() && it->second.limit)
        it->second = {std::nullopt, now};
    return limit != before;
}

std::optional<CallRate> UpstreamLimits::of(const UpstreamId &id, Time now) const
{
    const auto it = m_heard.find(id);
    if (it == m_heard.end() || it->second.at + forgetAfter <= now)
        return std::nullopt;
    return it->second.limit;
}

void UpstreamLimits::forgetOld(Time now)
{
    std::erase_if(m_heard, [&](const auto &it) { return it.second.at + forgetAfter <= now; });
}

} // namespace reachlead

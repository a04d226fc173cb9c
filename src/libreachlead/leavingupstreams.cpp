// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/leavingupstreams.h>

namespace reachlead {

std::vector<UpstreamId> LeavingUpstreams::recent(Time now) const
{
    std::vector<UpstreamId> ids;
    for (const auto &[id, since] : m_since) {
        if (since + reportWindow > now)
            ids.push_back(id);
    }
    return ids;
}

void LeavingUpstreams::dropExpired(Time now,
                                   const std::function<bool(const UpstreamId &)> &isRegistered)
{
    std::erase_if(m_since, [&](const auto &it) {
        return it.second + minRetention <= now && !isRegistered(it.first);
    });
}

} // namespace reachlead

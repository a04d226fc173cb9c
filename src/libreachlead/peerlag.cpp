// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/peerlag.h>

#include <algorithm>

namespace reachlead {

void PeerLag::heard(const ReportedVersions &reported, const ReportedVersions &own, Time now)
{
    if (reported.isAheadOf(own)) {
        m_newest.config = std::max(m_newest.config, reported.config);
        m_newest.registry = std::max(m_newest.registry, reported.registry);
        m_newest.evacuations = std::max(m_newest.evacuations, reported.evacuations);
        m_newest.roster = std::max(m_newest.roster, reported.roster);
        m_newestHeardAt = now;
    }
    update(own, now);
}

void PeerLag::update(const ReportedVersions &own, Time now)
{
    if (m_newestHeardAt + reportLifetime < now)
        m_newest = own;
    if (!m_newest.isAheadOf(own)) {
        m_behindSince.reset();
        m_isReported = false;
    } else if (!m_behindSince) {
        m_behindSince = now;
    }
}

std::optional<Duration> PeerLag::takeLongLag(Time now)
{
    if (m_isReported || !m_behindSince || now < *m_behindSince + longLag)
        return std::nullopt;
    m_isReported = true;
    return now - *m_behindSince;
}

} // namespace reachlead

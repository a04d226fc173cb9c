// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/senderclock.h>

#include <algorithm>

namespace reachlead {

void SenderClock::received(Duration stamp, const ArrivalBounds &arrival)
{
    const Duration least = arrival.notBefore.time_since_epoch() - stamp;
    const Duration most = arrival.readAt.time_since_epoch() - stamp;
    if (!m_least) {
        m_least = least;
        m_most = most;
    } else {
        const double elapsed = toSeconds(arrival.readAt - m_updatedAt);
        const Duration drift = fromSeconds(std::max(0.0, elapsed) * maxDrift);
        m_least = std::max(*m_least, least);
        m_most = std::min(m_most + drift, most);
    }
    m_updatedAt = arrival.readAt;
}

Time SenderClock::sentAt(Duration stamp) const
{
    return Time(std::min(m_least.value_or(Duration{}), m_most) + stamp);
}

} // namespace reachlead

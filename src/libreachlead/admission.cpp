// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/admission.h>

#include <algorithm>
#include <cmath>

namespace reachlead {

void AdmissionWindow::observe(Duration gap, Time now)
{
    // Gaps that began before the last move show the batch as it was then.
    if (now - gap < m_movedAt)
        return;
    m_sumSeconds += toSeconds(gap);
    ++m_seen;
}

void AdmissionWindow::adjust(Time now, std::uint32_t running, std::optional<Duration> tightest)
{
    if (!tightest || m_seen == 0 || now - m_movedAt < adjustInterval)
        return;
    m_movedAt = now;
    m_gapSeconds = m_sumSeconds / static_cast<double>(m_seen);
    m_sumSeconds = 0;
    m_seen = 0;
    const double part = m_gapSeconds / toSeconds(*tightest);
    if (part > shrinkThreshold && running > 0) {
        const double kept = std::floor(std::min(running, m_size) * shrinkFactor);
        m_size = std::max(m_bounds.minSize, static_cast<std::uint32_t>(kept));
    } else if (part < growThreshold && running >= m_size) {
        const double step = m_size * (growThreshold - part);
        m_size =
            std::min(m_bounds.maxSize, m_size + std::max(1U, static_cast<std::uint32_t>(step)));
    }
}

} // namespace reachlead

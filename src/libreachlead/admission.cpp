// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/admission.h>

#include <algorithm>
#include <cmath>

namespace reachlead {

void AdmissionWindow::observe(Duration gap, Time now)
{
    // A gap that began before the last adjustment reflects the previous batch size.
    if (now - gap < m_adjustedAt)
        return;
    m_gapSumSeconds += toSeconds(gap);
    ++m_gapCount;
}

void AdmissionWindow::adjust(Time now, std::uint32_t running, std::optional<Duration> tightest)
{
    if (!tightest || m_gapCount == 0 || now - m_adjustedAt < adjustInterval)
        return;
    m_adjustedAt = now;
    m_meanGapSeconds = m_gapSumSeconds / static_cast<double>(m_gapCount);
    m_gapSumSeconds = 0;
    m_gapCount = 0;
    const double ratio = m_meanGapSeconds / toSeconds(*tightest);
    if (ratio > shrinkThreshold && running > 0) {
        const double reduced = std::floor(std::min(running, m_size) * shrinkFactor);
        m_size = std::max(m_bounds.minSize, static_cast<std::uint32_t>(reduced));
    } else if (ratio < growThreshold && running >= m_size) {
        const double step = m_size * (growThreshold - ratio);
        m_size =
            std::min(m_bounds.maxSize, m_size + std::max(1U, static_cast<std::uint32_t>(step)));
    }
}

} // namespace reachlead

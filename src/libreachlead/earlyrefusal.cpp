// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/earlyrefusal.h>

#include <algorithm>

namespace reachlead {

std::optional<Duration> EarlyRefusal::decide(const LatencySlack &patience, Duration wait) const
{
    if (waitTargets <= 0 || patience.target <= Duration{})
        return std::nullopt;
    const double promised = toSeconds(patience.target);
    const double byTarget = promised * (patience.isMostUrgent ? urgentWaitTargets : waitTargets);
    const double byPatience = toSeconds(patience.timeLeft) * (1.0 - answerPart);
    const double bearable = std::min(byTarget, std::max(promised, byPatience));
    if (toSeconds(wait) <= bearable)
        return std::nullopt;
    return wait - fromSeconds(bearable);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/earlyrefusal.h>

#include <algorithm>

namespace reachlead {

std::optional<Duration> EarlyRefusal::decide(const LatencySlack &slack, Duration wait) const
{
    if (waitTargets <= 0 || slack.target <= Duration{})
        return std::nullopt;
    const double target = toSeconds(slack.target);
    const double maxByTarget = target * (slack.isMostUrgent ? urgentWaitTargets : waitTargets);
    const double maxByTimeLeft = toSeconds(slack.timeLeft) * (1.0 - answerShare);
    const double maxWait = std::min(maxByTarget, std::max(target, maxByTimeLeft));
    if (toSeconds(wait) <= maxWait)
        return std::nullopt;
    return wait - fromSeconds(maxWait);
}

} // namespace reachlead

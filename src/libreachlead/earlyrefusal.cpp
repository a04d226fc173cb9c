// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/earlyrefusal.h>

#include <algorithm>

namespace reachlead {

std::optional<Duration> EarlyRefusal::decide(const Patience &patience, Duration wait) const
{
    if (targets <= 0 || patience.target <= Duration{})
        return std::nullopt;
    const double promised = toSeconds(patience.target);
    const double byTarget = promised * (patience.isMostUrgent ? urgentTargets : targets);
    const double byPatience = toSeconds(patience.left) * (1.0 - answerPart);
    const double bearable = std::min(byTarget, std::max(promised, byPatience));
    if (toSeconds(wait) <= bearable)
        return std::nullopt;
    return wait - fromSeconds(bearable);
}

} // namespace reachlead

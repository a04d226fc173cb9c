// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/earlyrefusal.h>

#include <algorithm>
#include <cmath>

namespace reachlead {

Duration EarlyRefusal::maxWait(Duration target, unsigned urgencyRank,
                               std::span<const UrgencyClass> classes) const
{
    if (waitTargets <= 0 || target <= Duration{})
        return {};
    const double last = std::max(1.0, static_cast<double>(classes.size()) - 1.0);
    // Geometric steps, as the bounds of two classes differ by the same factor everywhere.
    const auto targets = [&](std::size_t n) {
        const double lessUrgent = static_cast<double>(n) / last;
        return std::pow(urgentWaitTargets, 1.0 - lessUrgent) * std::pow(waitTargets, lessUrgent);
    };
    const auto own = std::ranges::lower_bound(classes, urgencyRank, {}, &UrgencyClass::rank);
    const auto position = static_cast<std::size_t>(own - classes.begin());
    double longest = toSeconds(target) * targets(position);
    for (std::size_t n = position; n < classes.size(); ++n)
        longest = std::max(longest, toSeconds(classes[n].target) * targets(n));
    return fromSeconds(longest);
}

std::optional<Duration> EarlyRefusal::decide(const LatencySlack &slack, Duration wait) const
{
    if (waitTargets <= 0 || slack.maxWait <= Duration{})
        return std::nullopt;
    const Duration maxWait = std::min(slack.maxWait, maxByTimeLeft(slack));
    if (wait <= maxWait)
        return std::nullopt;
    return wait - maxWait;
}

std::optional<Duration> EarlyRefusal::decideOvertaking(const LatencySlack &slack,
                                                       Duration wait) const
{
    const Duration maxWait = maxByTimeLeft(slack);
    if (wait <= maxWait)
        return std::nullopt;
    return wait - maxWait;
}

Duration EarlyRefusal::maxByTimeLeft(const LatencySlack &slack) const
{
    return std::max(slack.target, fromSeconds(toSeconds(slack.timeLeft) * (1.0 - answerShare)));
}

} // namespace reachlead

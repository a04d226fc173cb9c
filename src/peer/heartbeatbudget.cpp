// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/heartbeatbudget.h"

#include <algorithm>

#include <reachlead/upstreamtable.h>

namespace reachlead {

namespace {

/// Beats until each of the other gateways got one.
std::size_t beatsInRound(std::size_t targets, std::size_t all)
{
    const std::size_t each = std::max<std::size_t>(1, targets);
    return (all + each - 1) / each;
}

} // namespace

double HeartbeatBudget::allowedRate(std::size_t bytes, std::size_t all) const
{
    const double perBeat = bytesPerSecond * toSeconds(interval);
    const bool reachesAllInTwo = 2.0 * perBeat >= static_cast<double>(bytes * all);
    return reachesAllInTwo ? bytesPerSecond : largeFleetFraction * bytesPerSecond;
}

bool HeartbeatBudget::isDue(Duration elapsed, TokenCount untold, std::size_t bytes,
                            std::size_t all) const
{
    const auto toBeSent = static_cast<double>(bytes * targetCount(bytes, all));
    const bool isAffordable = toBeSent <= allowedRate(bytes, all) * toSeconds(elapsed);
    return elapsed >= interval || (untold >= earlyReportTokens && isAffordable);
}

std::size_t HeartbeatBudget::targetCount(std::size_t bytes, std::size_t all) const
{
    const auto each = static_cast<double>(std::max<std::size_t>(1, bytes));
    const auto affordable =
        static_cast<std::size_t>(allowedRate(bytes, all) * toSeconds(interval) / each);
    return std::min(all, std::max(minTargets, affordable));
}

Duration HeartbeatBudget::hintWindow(std::size_t targets, std::size_t all) const
{
    const Duration round = interval * beatsInRound(targets, all);
    return std::min<Duration>(UpstreamTable::hintWindow, round + interval);
}

Duration HeartbeatBudget::loadLifetime(std::size_t targets, std::size_t all) const
{
    return std::max<Duration>(UpstreamTable::peerLoadLifetime,
                              2 * interval * beatsInRound(targets, all));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/heartbeatbudget.h"

#include <algorithm>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

namespace {

/// Number of heartbeats until each of the other gateways was sent one.
std::size_t heartbeatsPerRound(std::size_t targetCount, std::size_t peerCount)
{
    const std::size_t divisor = std::max<std::size_t>(1, targetCount);
    return (peerCount + divisor - 1) / divisor;
}

} // namespace

double HeartbeatBudget::allowedRate(std::size_t heartbeatBytes, std::size_t peerCount) const
{
    const double bytesPerInterval = bytesPerSecond * toSeconds(interval);
    const bool reachesAllInTwo =
        2.0 * bytesPerInterval >= static_cast<double>(heartbeatBytes * peerCount);
    return reachesAllInTwo ? bytesPerSecond : largeFleetFraction * bytesPerSecond;
}

bool HeartbeatBudget::isDue(Duration elapsed, TokenCount unreported, std::size_t heartbeatBytes,
                            std::size_t peerCount) const
{
    const auto bytesToSend =
        static_cast<double>(heartbeatBytes * targetCount(heartbeatBytes, peerCount));
    const bool isAffordable =
        bytesToSend <= allowedRate(heartbeatBytes, peerCount) * toSeconds(elapsed);
    return elapsed >= interval || (unreported >= earlyReportTokens && isAffordable);
}

std::size_t HeartbeatBudget::targetCount(std::size_t heartbeatBytes, std::size_t peerCount) const
{
    const auto divisor = static_cast<double>(std::max<std::size_t>(1, heartbeatBytes));
    const auto affordable = static_cast<std::size_t>(allowedRate(heartbeatBytes, peerCount)
                                                     * toSeconds(interval) / divisor);
    return std::min(peerCount, std::max(minTargets, affordable));
}

Duration HeartbeatBudget::hintWindow(std::size_t targetCount, std::size_t peerCount) const
{
    const Duration round = interval * heartbeatsPerRound(targetCount, peerCount);
    return std::min<Duration>(UpstreamTable::hintWindow, round + interval);
}

Duration HeartbeatBudget::loadLifetime(std::size_t targetCount, std::size_t peerCount) const
{
    return std::max<Duration>(UpstreamTable::peerLoadLifetime,
                              2 * interval * heartbeatsPerRound(targetCount, peerCount));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How often a gateway sends heartbeats, to how many gateways at a time, and for how long their
/// content is valid, within the bandwidth reserved for control traffic.

#pragma once

#include <cstddef>

#include <reachlead/clock.h>
#include <reachlead/headercodec.h>

namespace reachlead {

/// Computes the rate, fan-out and validity of heartbeats between gateways. Has no state.
///
/// Calls are placed by the load that the other gateways have caused in the meantime, so a reported
/// load must not be older than a prompt usually waits.
struct HeartbeatBudget
{
    /// Time between heartbeats. A change reaches a gateway that is disconnected from the registry
    /// within two intervals and a fetch.
    Duration interval = milliseconds(400);

    /// Bandwidth of a gateway's heartbeats while two of them reach all others. In a larger fleet
    /// they may use largeFleetFraction of it: control traffic has 15 KB/s of a VM at 480 gateways,
    /// and a gateway receives as much as it sends. A setting.
    double bytesPerSecond = 13'000.0;

    /// Minimum number of gateways that one heartbeat is sent to. Changes are passed on from gateway
    /// to gateway: with five targets, a change reaches 480 gateways in four rounds.
    static constexpr std::size_t minTargets = 5;

    /// With this many unreported prefill tokens a heartbeat is sent before the interval has
    /// elapsed: two chunks of an engine, which may make the token gap of a concurrent stream too
    /// long. The bandwidth of a fleet of five gateways allows this every 0.1 s.
    static constexpr TokenCount earlyReportTokens = 4096;

    /// Time between checks of whether a heartbeat is due.
    static constexpr Duration checkInterval = milliseconds(100);

    /// True when a heartbeat is due \p elapsed after the last one, which had \p heartbeatBytes;
    /// \p unreported is the number of prefill tokens sent since.
    bool isDue(Duration elapsed, TokenCount unreported, std::size_t heartbeatBytes,
               std::size_t peerCount) const;

    /// Bandwidth, in bytes/s, of heartbeats of this size.
    double allowedRate(std::size_t heartbeatBytes, std::size_t peerCount) const;

    /// Number of gateways that a heartbeat of this size is sent to, out of \p peerCount others.
    std::size_t targetCount(std::size_t heartbeatBytes, std::size_t peerCount) const;

    /// Fraction of bytesPerSecond that heartbeats use in a larger fleet.
    static constexpr double largeFleetFraction = 0.5;

    /// How long a new hint is reported so that each other gateway receives it, most of them once.
    Duration hintWindow(std::size_t targetCount, std::size_t peerCount) const;

    /// How long a reported load is valid: two rounds over all gateways. If it were shorter than a
    /// round, most of a large fleet's load would be assumed to be zero.
    Duration loadLifetime(std::size_t targetCount, std::size_t peerCount) const;
};

} // namespace reachlead

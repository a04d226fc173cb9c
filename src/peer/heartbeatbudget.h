// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How often a gateway tells the others of itself, how many of them at a time, and how long what it
/// told counts: all within the bytes that control may take.

#pragma once

#include <cstddef>

#include <reachlead/clock.h>
#include <reachlead/headercodec.h>

namespace reachlead {

/// The rules of beats between gateways. Pure.
///
/// Load pattern: calls are placed by what the others have sent meanwhile. In a fleet of 30 that
/// told five others each 0.4 s a load was up to 2.4 s old, longer than any prompt waits.
struct HeartbeatBudget
{
    /// Between beats. A change reaches a gateway that is cut off from the registry within two of
    /// them and a fetch.
    Duration interval = milliseconds(400);

    /// What a gateway's beats may take where they reach all others within two of them, and twice
    /// what they may take in a larger fleet: control has 15 KB/s of a VM at 480 gateways, and as
    /// much is heard as is sent. A setting.
    double bytesPerSecond = 13'000.0;

    /// Gateways that one beat goes to at least. What is new passes from one to the next: a change
    /// reaches 480 gateways in four rounds.
    static constexpr std::size_t minTargets = 5;

    /// Prompt tokens to be read that are told before the next beat is due: two chunks of an engine,
    /// beside which a stream's pause may be too long. Five gateways can afford it every 0.1 s.
    static constexpr TokenCount earlyReportTokens = 4096;

    /// Between looks whether a beat is due.
    static constexpr Duration checkInterval = milliseconds(100);

    /// True when a beat is due \p elapsed after one of \p bytes, with \p untold tokens sent to be
    /// read since.
    bool isDue(Duration elapsed, TokenCount untold, std::size_t bytes, std::size_t all) const;

    /// Bytes a second that beats of this size may take.
    double allowedRate(std::size_t bytes, std::size_t all) const;

    /// How many gateways a beat of this size goes to when there are \p all others.
    std::size_t targetCount(std::size_t bytes, std::size_t all) const;

    /// Part of bytesPerSecond that a larger fleet's beats take.
    static constexpr double largeFleetFraction = 0.5;

    /// How long what is new is told, so that each of the others hears it, most of them once.
    Duration hintWindow(std::size_t targets, std::size_t all) const;

    /// How long a load that was told counts: two rounds over all gateways. Were it shorter than a
    /// round, most of a large fleet's load would be taken for none.
    Duration loadLifetime(std::size_t targets, std::size_t all) const;
};

} // namespace reachlead

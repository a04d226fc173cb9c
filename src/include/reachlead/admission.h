// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many requests an engine runs at once, steered by the time between tokens it shows.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// The admission window of one upstream. Not thread-safe.
///
/// Engines batch continuously: throughput grows with the batch until the time between tokens
/// breaks the promise. The window grows while the measured time stays under the tightest target of
/// those running, by the more the farther it is from it, and shrinks by a part when it passes.
class AdmissionWindow
{
public:
    struct Bounds
    {
        std::uint32_t minSize = 1;
        std::uint32_t maxSize = 64;
        std::uint32_t initialSize = 8;
    };

    explicit AdmissionWindow(Bounds bounds) : m_bounds(bounds), m_size(bounds.initialSize) { }

    /// Learns the time between two tokens of one answer.
    void observe(Duration gap, Time now);

    /// Looks at what was learned and moves the window. \p tightest is the smallest target among
    /// the running requests, none when no request has one.
    void adjust(Time now, std::uint32_t running, std::optional<Duration> tightest);

    std::uint32_t size() const { return m_size; }

    /// The time between tokens, as last looked at; zero before the first look.
    Duration tokenGap() const { return fromSeconds(m_gapSeconds); }

    static constexpr Duration adjustInterval = milliseconds(200); ///< between two moves
    static constexpr double growThreshold = 0.92; ///< part of the target under which it grows
    static constexpr double shrinkThreshold = 1.0; ///< part of the target over which it shrinks
    static constexpr double shrinkFactor = 0.85; ///< part of the size that is kept

private:
    Bounds m_bounds;
    std::uint32_t m_size;
    double m_gapSeconds = 0; ///< mean over the last interval that was looked at
    double m_sumSeconds = 0; ///< of the gaps seen since the last move settled
    std::uint64_t m_seen = 0;
    Time m_movedAt{};
};

} // namespace reachlead

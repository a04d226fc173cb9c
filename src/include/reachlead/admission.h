// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Admission window: limits the requests that an engine runs at once, controlled by the measured
/// time between tokens.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// The admission window of one upstream. Not thread-safe.
///
/// Engines use continuous batching: throughput grows with the batch until the time between tokens
/// exceeds its target. While the measured time stays below the tightest target of the running
/// requests the window grows, in larger steps the further below the target it is; when it exceeds
/// the target the window shrinks by a fixed factor.
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

    /// Records the time between two tokens of one answer.
    void observe(Duration gap, Time now);

    /// Adjusts the window by the gaps recorded since the last adjustment. \p tightest is the
    /// smallest inter-token target of the running requests; none when no request has one.
    void adjust(Time now, std::uint32_t running, std::optional<Duration> tightest);

    std::uint32_t size() const { return m_size; }

    /// Mean time between tokens at the last adjustment; zero before the first.
    Duration tokenGap() const { return fromSeconds(m_meanGapSeconds); }

    /// Minimum time between adjustments.
    static constexpr Duration adjustInterval = milliseconds(200);
    /// Fraction of the target below which the window grows.
    static constexpr double growThreshold = 0.92;
    /// Fraction of the target above which the window shrinks.
    static constexpr double shrinkThreshold = 1.0;
    /// Fraction of the size that is kept when the window shrinks.
    static constexpr double shrinkFactor = 0.85;

private:
    Bounds m_bounds;
    std::uint32_t m_size;
    double m_meanGapSeconds = 0; ///< at the last adjustment
    double m_gapSumSeconds = 0; ///< over the gaps that began after the last adjustment
    std::uint64_t m_gapCount = 0;
    Time m_adjustedAt{};
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Measures how late an event loop runs.

#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include <reachlead/clock.h>

namespace reachlead {

/// How late the handlers of timers run: about as late as everything else that is ready. Not
/// thread-safe, reads no clock.
class LoopLag
{
public:
    /// The handler of a timer that was due at \p dueAt runs at \p now.
    void ran(Time dueAt, Time now)
    {
        m_last = std::max(Duration{}, now - dueAt);
        m_longest = std::max(m_longest, m_last);
    }

    /// The lag of the last timer.
    Duration last() const { return m_last; }

    /// The longest lag since the last report, if it is worth a log line; one a second at most.
    std::optional<Duration> takeLongLag(Time now)
    {
        if (now < m_reportedAt + reportInterval)
            return std::nullopt;
        m_reportedAt = now;
        const Duration longest = std::exchange(m_longest, Duration{});
        return longest >= longLag ? std::optional(longest) : std::nullopt;
    }

    static constexpr Duration reportInterval = seconds(1);
    /// Callers notice a lag of this length.
    static constexpr Duration longLag = milliseconds(200);

private:
    Duration m_last{};
    Duration m_longest{};
    Time m_reportedAt{};
};

} // namespace reachlead

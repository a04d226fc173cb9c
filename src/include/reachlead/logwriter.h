// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Background thread that writes log lines, so that logging threads do not block on slow output.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <reachlead/clock.h>

namespace reachlead {

/// Token bucket that limits the lines which a process logs. Not thread-safe; the time is passed in.
class LogBudget
{
public:
    /// Takes the budget of one line; returns false when it is used up.
    bool take(Time now);

    /// Sustained rate. A line takes about 5 microseconds of CPU time, so this is 0.2 % of a core.
    static constexpr double linesPerSecond = 400.0;
    /// Lines that may be logged at once, as when all upstreams of a zone leave.
    static constexpr double burst = 2000.0;

private:
    double m_left = burst;
    Time m_filledAt{};
};

/// Accepts lines from any thread and writes them from its own. The logging thread never waits for
/// output: lines that exceed the budget or the buffer are dropped, and a log line reports how many.
class LogWriter
{
public:
    using Write = std::function<void(const std::string &)>;

    explicit LogWriter(Write write);
    /// Writes the buffered lines.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Buffers one line, including its newline. \p isUrgent lines are exempt from the budget, but
    /// not from the buffer's limit.
    void put(const std::string &line, bool isUrgent);

    /// Returns the number of lines dropped so far.
    std::uint64_t dropped() const;

    static constexpr std::size_t maxBufferedBytes = 512U << 10U;
    /// Lines are batched for this long, as each write wakes a thread and makes a system call.
    static constexpr std::chrono::milliseconds flushInterval{200};

private:
    void run();

    Write m_write;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    LogBudget m_budget; ///< guarded by m_mutex, like all below but m_thread
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0; ///< the part of m_dropped that was logged
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace reachlead

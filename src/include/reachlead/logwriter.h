// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The thread that writes log lines, so that no other thread waits for an output that is slow.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <reachlead/clock.h>

namespace reachlead {

/// Bounds what a process logs: a budget of lines that fills up again with time. Not thread-safe,
/// reads no clock.
class LogBudget
{
public:
    /// Takes one line; false when the budget is used up.
    bool take(Time now);

    /// Lines for each second in the long run. A line costs about 5 microseconds of the processor,
    /// so this is 0.2 % of a core.
    static constexpr double linesPerSecond = 400.0;
    /// Lines that may come at once, as when a whole zone's upstreams leave.
    static constexpr double burst = 2000.0;

private:
    double m_left = burst;
    Time m_filledAt{};
};

/// Takes lines from any thread and writes them from its own. Never blocks whoever logs: lines over
/// the budget or beyond the buffer are dropped and counted, and a line tells how many.
class LogWriter
{
public:
    using Write = std::function<void(const std::string &)>;

    explicit LogWriter(Write write);
    /// Writes what waits.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Hands over one line, its end included. \p urgent lines pass the budget, not the buffer.
    void put(const std::string &line, bool urgent);

    /// Lines dropped so far.
    std::uint64_t dropped() const;

    static constexpr std::size_t maxBufferedBytes = 512U << 10U; ///< bytes in the buffer
    /// Lines are gathered this long, as each write wakes a thread and makes a system call.
    static constexpr std::chrono::milliseconds flushInterval{200};

private:
    void run();

    Write m_write;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    LogBudget m_budget; ///< guarded by m_mutex, as all below but the thread
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; ///< of m_dropped
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace reachlead

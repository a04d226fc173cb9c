// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The runtime's clock. Tests pause and advance it explicitly; daemons leave it running.

#pragma once

#include <atomic>
#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>

namespace reachlead {

/// A monotonic clock that can be paused. Thread-safe.
///
/// It includes the time for which the VM was suspended, which CLOCK_MONOTONIC does not: with that
/// clock, a lease holder suspended beyond the end of its lease would resume with the lease still
/// valid, and outdated fleet state would still count as current.
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    /// Returns the current real time, or the time at which the clock is paused.
    static time_point now();

    /// Stops the clock at \p at; from then on only advance() moves it.
    static void pause(time_point at);

    /// Advances a paused clock by \p step.
    static void advance(duration step);

    /// Makes the clock follow real time again.
    static void resume();

    /// True between pause() and resume().
    static bool paused();

private:
    static std::atomic<bool> s_paused;
    static std::atomic<rep> s_pausedAt;
};

using Time = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to fractional milliseconds, for logs and reports.
inline double toMillis(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Converts a duration to fractional seconds.
inline double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Converts fractional seconds to a duration.
inline Duration fromSeconds(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

/// Tells Asio how long to sleep for a RuntimeClock timer. The clock is polled every millisecond of
/// real time while it is paused, otherwise at least every maxPollInterval.
struct RuntimeWaitTraits
{
    /// Kernel timers do not advance while the VM is suspended. With this interval, a timeout that
    /// expired during the suspension takes effect within 100 ms after the VM resumes, before
    /// interrupted work continues for long.
    static constexpr Duration maxPollInterval = milliseconds(100);

    static Duration to_wait_duration(const Duration &d);
    static Duration to_wait_duration(const Time &t);
};

/// An Asio timer on the runtime's clock.
using Timer = boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

} // namespace reachlead

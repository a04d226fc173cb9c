// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The runtime's clock. Tests pause it and move it on by hand; daemons leave it running.

#pragma once

#include <atomic>
#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>

namespace reachlead {

/// A monotonic clock that can be paused. Thread-safe.
///
/// It counts the time for which the VM was suspended, which the usual monotonic clock does not: by
/// that one a holder of a lease that was suspended past the lease's end would find it still held,
/// and the state of the fleet as of before would still count as current.
class RuntimeClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true;

    /// The time now: real, or where the pause left it.
    static time_point now();

    /// Stops the clock at the given time; advance() alone moves it from here.
    static void pause(time_point at);

    /// Moves a paused clock on by \p step.
    static void advance(duration step);

    /// Lets the clock follow real time again.
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

/// A duration in milliseconds with fraction, for logs and reports.
inline double toMillis(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// A duration in seconds with fraction.
inline double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Makes a duration from seconds with fraction.
inline Duration fromSeconds(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

/// Tells Asio how long to sleep for a RuntimeClock timer: a paused clock is looked at each
/// millisecond of real time, a running one each maxPollInterval.
struct RuntimeWaitTraits
{
    /// The kernel's timers stand still while the VM is suspended. Looked at this often, a limit
    /// that passed meanwhile takes effect a tenth of a second after the wake, before what was
    /// under way goes on for long.
    static constexpr Duration maxPollInterval = milliseconds(100);

    static Duration to_wait_duration(const Duration &d);
    static Duration to_wait_duration(const Time &t);
};

/// An Asio timer on the runtime's clock.
using Timer = boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

} // namespace reachlead

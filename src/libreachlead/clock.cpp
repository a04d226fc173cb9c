// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/clock.h>

#include <algorithm>
#include <ctime>

namespace reachlead {

std::atomic<bool> RuntimeClock::s_paused{false};
std::atomic<RuntimeClock::rep> RuntimeClock::s_pausedAt{0};

RuntimeClock::time_point RuntimeClock::now()
{
    if (s_paused.load(std::memory_order_acquire))
        return time_point(duration(s_pausedAt.load(std::memory_order_acquire)));
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) + duration(now.tv_nsec));
}

void RuntimeClock::pause(time_point at)
{
    s_pausedAt.store(at.time_since_epoch().count(), std::memory_order_release);
    s_paused.store(true, std::memory_order_release);
}

void RuntimeClock::advance(duration step)
{
    s_pausedAt.fetch_add(step.count(), std::memory_order_acq_rel);
}

void RuntimeClock::resume()
{
    s_paused.store(false, std::memory_order_release);
}

bool RuntimeClock::paused()
{
    return s_paused.load(std::memory_order_acquire);
}

Duration RuntimeWaitTraits::to_wait_duration(const Duration &d)
{
    if (d > Duration::zero() && RuntimeClock::paused())
        return milliseconds(1);
    return std::min<Duration>(d, maxPollInterval);
}

Duration RuntimeWaitTraits::to_wait_duration(const Time &t)
{
    return to_wait_duration(t - RuntimeClock::now());
}

} // namespace reachlead

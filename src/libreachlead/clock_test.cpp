// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include <reachlead/clock.h>

namespace {

/// Simulated suspension of the VM: CLOCK_BOOTTIME includes it, CLOCK_MONOTONIC does not.
std::atomic<time_t> suspendedSeconds{0};

} // namespace

/// Overrides the C library's function for all clocks of this program.
extern "C" int clock_gettime(clockid_t clock, timespec *at) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, at));
    if (result == 0 && clock == CLOCK_BOOTTIME)
        at->tv_sec += suspendedSeconds.load();
    return result;
}

namespace reachlead {

/// Tests RuntimeClock while it is not paused.
class ClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClockTest);
    CPPUNIT_TEST(timeOfASuspensionCounts);
    CPPUNIT_TEST(timerExpiredDuringSuspensionFiresSoon);
    CPPUNIT_TEST_SUITE_END();

    /// With a clock that stops during a suspension, a VM would resume with leases and fleet state
    /// that count as younger than they are.
    void timeOfASuspensionCounts()
    {
        constexpr seconds suspension{5};
        const Time before = RuntimeClock::now();
        suspendedSeconds += suspension.count();
        CPPUNIT_ASSERT(RuntimeClock::now() >= before + suspension);
    }

    /// The kernel timer of the event loop stops during a suspension, like CLOCK_MONOTONIC. Without
    /// polling, a timeout of 30 s that expired meanwhile would fire 30 s after the VM resumes.
    void timerExpiredDuringSuspensionFiresSoon()
    {
        constexpr seconds timeout{30};
        boost::asio::io_context io{1};
        Timer timer(io);
        bool hasFired = false;
        timer.expires_after(timeout);
        timer.async_wait([&](const boost::system::error_code &ec) { hasFired = !ec; });
        io.run_for(std::chrono::milliseconds(20)); // starts the wait
        suspendedSeconds += timeout.count();
        io.restart();
        io.run_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(hasFired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockTest);

} // namespace reachlead

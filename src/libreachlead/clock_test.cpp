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

/// How long the VM was suspended: the clock since boot counts it, the monotonic clock does not.
std::atomic<time_t> suspendedSeconds{0};

} // namespace

/// Stands before the C library's, for all clocks of this program.
extern "C" int clock_gettime(clockid_t clock, timespec *at) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, at));
    if (result == 0 && clock == CLOCK_BOOTTIME)
        at->tv_sec += suspendedSeconds.load();
    return result;
}

namespace reachlead {

/// The runtime's clock while nobody pauses it.
class ClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClockTest);
    CPPUNIT_TEST(timeOfASuspensionCounts);
    CPPUNIT_TEST(timerThatBecameDueMeanwhileFiresSoon);
    CPPUNIT_TEST_SUITE_END();

    /// A VM that was suspended for seconds would wake with a monotonic clock that had stood still,
    /// and take its leases, and what it knew of the fleet, for as young as before.
    void timeOfASuspensionCounts()
    {
        constexpr seconds suspension{5};
        const Time before = RuntimeClock::now();
        suspendedSeconds += suspension.count();
        CPPUNIT_ASSERT(RuntimeClock::now() >= before + suspension);
    }

    /// The kernel's timer for the event loop stands still with the monotonic clock: a limit of 30 s
    /// that passed meanwhile would be noticed 30 s after the wake.
    void timerThatBecameDueMeanwhileFiresSoon()
    {
        constexpr seconds limit{30};
        boost::asio::io_context io{1};
        Timer timer(io);
        bool hasFired = false;
        timer.expires_after(limit);
        timer.async_wait([&](const boost::system::error_code &ec) { hasFired = !ec; });
        io.run_for(std::chrono::milliseconds(20)); // the wait for the limit is under way
        suspendedSeconds += limit.count();
        io.restart();
        io.run_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(hasFired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockTest);

} // namespace reachlead

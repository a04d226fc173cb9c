// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <reachlead/sleep.h>

#include "objectapi/platformfollower.h"

namespace reachlead {

/// Following the settings despite faults of the platform's service.
class PlatformFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformFollowerTest);
    CPPUNIT_TEST(lostAnswerOfAWatchIsNoticedInTime);
    CPPUNIT_TEST_SUITE_END();

    /// The answer to the second call, a watch, is lost. The next watch must follow at once, within
    /// the time in which settings must be in force.
    void lostAnswerOfAWatchIsNoticedInTime()
    {
        constexpr Duration settingsBound = seconds(4);
        const PlatformFollower::Options defaults;
        CPPUNIT_ASSERT(defaults.watchTimeout + defaults.callTimeout < settingsBound);

        boost::asio::io_context io;
        std::atomic<int> calls = 0;
        HttpServer server(io, {"127.0.0.1", 0},
                          [&](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
                              HttpResponse response;
                              response.status = request.pathOnly() == "/members" ? 404 : 200;
                              response.body = R"({"version":1,"objects":[]})";
                              if (request.pathOnly() != "/members" && ++calls == 2)
                                  co_await sleepFor(io, std::chrono::hours(1));
                              co_return response;
                          });
        std::thread thread([&] { io.run(); });
        Counters counters;
        PlatformFollower::Options options;
        options.service = {"127.0.0.1", server.port()};
        options.watchTimeout = milliseconds(50);
        options.callTimeout = milliseconds(50);
        options.maxRetryDelay = std::chrono::minutes(1);
        options.counters = &counters;
        {
            const PlatformFollower follower(
                options, [](const PoliciesPtr &) { }, [](const std::vector<Member> &) { });
            constexpr auto wait = std::chrono::milliseconds(10);
            for (int n = 0; n < 500 && calls < 3; ++n)
                std::this_thread::sleep_for(wait);
        }
        io.stop();
        thread.join();
        CPPUNIT_ASSERT(calls >= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFollowerTest);

} // namespace reachlead

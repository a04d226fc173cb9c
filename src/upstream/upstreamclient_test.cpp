// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <thread>

#include "upstream/upstreamclient.h"

namespace reachlead {

/// An agent's calls to an upstream that turns them away, over real connections.
class UpstreamClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamClientTest);
    CPPUNIT_TEST(refusedStreamTellsTheRest);
    CPPUNIT_TEST(refusedServiceCallTellsTheRest);
    CPPUNIT_TEST(otherTextsAskForNoRest);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto patience = std::chrono::seconds(5);

    /// What the client tells of one call.
    static UpstreamEvent eventOf(bool stream)
    {
        boost::asio::io_context io;
        HttpServer server(io, {"127.0.0.1", 0},
                          [](const HttpAsk &) -> boost::asio::awaitable<HttpReply> {
                              co_return HttpReply{503, {{"Retry-After", "1.5"}}, "{}"};
                          });
        std::thread thread([&] { io.run_for(patience); });
        UpstreamClient::Options options;
        options.upstream = {"127.0.0.1", server.port()};
        UpstreamClient client(options, [] { });
        Dispatch dispatch;
        dispatch.stream = stream;
        dispatch.call.method = "POST";
        dispatch.call.path = "/x";
        dispatch.call.body = "{}";
        client.start({AttemptKey{}, std::make_shared<const Dispatch>(dispatch)});
        std::vector<UpstreamEvent> events;
        const auto end = std::chrono::steady_clock::now() + patience;
        while (events.empty() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            events = client.takeEvents();
        }
        client.join();
        io.stop();
        thread.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        return events.front();
    }

    void refusedStreamTellsTheRest()
    {
        const auto failure = std::get<UpstreamFailure>(eventOf(true));
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamRefused);
        CPPUNIT_ASSERT(failure.rest == milliseconds(1500));
    }

    void refusedServiceCallTellsTheRest()
    {
        const auto answer = std::get<UpstreamAnswer>(eventOf(false));
        CPPUNIT_ASSERT_EQUAL(503U, answer.reply.status);
        CPPUNIT_ASSERT(answer.rest == milliseconds(1500));
    }

    void otherTextsAskForNoRest()
    {
        CPPUNIT_ASSERT(restAsked(429, "2") == seconds(2));
        CPPUNIT_ASSERT(!restAsked(200, "2"));
        for (const std::string text : {"", "0", "-1", "nan", "inf", "2 s", "Thu, 03 Dec 2026"})
            CPPUNIT_ASSERT_MESSAGE(text, !restAsked(503, text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamClientTest);

} // namespace reachlead

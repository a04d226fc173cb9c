// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "upstream/upstreamclient.h"

namespace reachlead {

/// An agent's calls to an upstream that turns them away or breaks them off, over real connections.
class UpstreamClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamClientTest);
    CPPUNIT_TEST(refusedStreamTellsRetryAfter);
    CPPUNIT_TEST(refusedServiceCallTellsRetryAfter);
    CPPUNIT_TEST(otherTextsAreNoRetryAfter);
    CPPUNIT_TEST(streamCutByALivingEngineIsNotItsEnd);
    CPPUNIT_TEST(callCutByALivingServiceIsNotItsEnd);
    CPPUNIT_TEST(answerOfAFailedEngineIsNotItsEnd);
    CPPUNIT_TEST(callLostWithItsProcessIsItsEnd);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr auto patience = std::chrono::seconds(5);

    /// What a client tells of one call to the upstream at \p port.
    static UpstreamEvent eventOfCall(std::uint16_t port, bool stream)
    {
        UpstreamClient::Options options;
        options.upstream = {"127.0.0.1", port};
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        return events.front();
    }

    /// What the client tells of one call that gets \p reply.
    static UpstreamEvent eventOf(bool stream, const HttpResponse &reply = refusal())
    {
        boost::asio::io_context io;
        HttpServer server(
            io, {"127.0.0.1", 0},
            [&](const HttpRequest &) -> boost::asio::awaitable<HttpResponse> { co_return reply; });
        std::thread thread([&] { io.run_for(patience); });
        UpstreamEvent event = eventOfCall(server.port(), stream);
        io.stop();
        thread.join();
        return event;
    }

    static HttpResponse refusal() { return {503, {{"Retry-After", "1.5"}}, "{}"}; }

    /// What the client tells of a call whose connection the upstream closes within the answer.
    /// Where it \p ends, nothing listens at its address any more.
    static UpstreamFailure failureOfCut(bool stream, bool ends)
    {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        const std::uint16_t port = acceptor.local_endpoint().port();
        std::thread thread([&] {
            tcp::socket socket = acceptor.accept();
            if (ends)
                acceptor.close();
            std::array<char, 4096> request{};
            socket.read_some(boost::asio::buffer(request));
            const std::string begun = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx";
            boost::asio::write(socket, boost::asio::buffer(begun));
        });
        const UpstreamEvent event = eventOfCall(port, stream);
        thread.join();
        return std::get<UpstreamFailure>(event);
    }

    void refusedStreamTellsRetryAfter()
    {
        const auto failure = std::get<UpstreamFailure>(eventOf(true));
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamRefused);
        CPPUNIT_ASSERT(failure.retryAfter == milliseconds(1500));
    }

    void refusedServiceCallTellsRetryAfter()
    {
        const auto answer = std::get<UpstreamAnswer>(eventOf(false));
        CPPUNIT_ASSERT_EQUAL(503U, answer.reply.status);
        CPPUNIT_ASSERT(answer.retryAfter == milliseconds(1500));
    }

    void otherTextsAreNoRetryAfter()
    {
        CPPUNIT_ASSERT(parseRetryAfter(429, "2") == seconds(2));
        CPPUNIT_ASSERT(!parseRetryAfter(200, "2"));
        for (const std::string text : {"", "0", "-1", "nan", "inf", "2 s", "Thu, 03 Dec 2026"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseRetryAfter(503, text));
    }

    void streamCutByALivingEngineIsNotItsEnd()
    {
        const UpstreamFailure failure = failureOfCut(true, false);
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void callCutByALivingServiceIsNotItsEnd()
    {
        const UpstreamFailure failure = failureOfCut(false, false);
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void answerOfAFailedEngineIsNotItsEnd()
    {
        const auto failure = std::get<UpstreamFailure>(eventOf(true, {500, {}, "{}"}));
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void callLostWithItsProcessIsItsEnd()
    {
        CPPUNIT_ASSERT(failureOfCut(true, true).upstreamExited);
        CPPUNIT_ASSERT(failureOfCut(false, true).upstreamExited);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamClientTest);

} // namespace reachlead

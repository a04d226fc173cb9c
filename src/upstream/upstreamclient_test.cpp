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

/// An agent's calls to an upstream that refuses them or closes the connection, over real sockets.
/// An upstream must count as exited only when it refuses connections: a lost connection or a failed
/// answer alone must not be taken for a crash.
class UpstreamClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamClientTest);
    CPPUNIT_TEST(refusedStreamReportsRetryAfter);
    CPPUNIT_TEST(refusedServiceCallReportsRetryAfter);
    CPPUNIT_TEST(invalidRetryAfterIsIgnored);
    CPPUNIT_TEST(closedStreamIsNotAnExit);
    CPPUNIT_TEST(closedServiceCallIsNotAnExit);
    CPPUNIT_TEST(serverErrorIsNotAnExit);
    CPPUNIT_TEST(refusedReconnectIsAnExit);
    CPPUNIT_TEST(exitThatStopsListeningLastIsAnExit);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr auto timeout = std::chrono::seconds(5);

    /// The event of one call to an upstream that listens on \p port.
    static UpstreamEvent callUpstream(std::uint16_t port, bool stream)
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
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (events.empty() && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            events = client.takeEvents();
        }
        client.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        return events.front();
    }

    /// The event of one call that is answered with \p reply.
    static UpstreamEvent callAnsweredWith(bool stream, const HttpResponse &reply = refusal())
    {
        boost::asio::io_context io;
        HttpServer server(
            io, {"127.0.0.1", 0},
            [&](const HttpRequest &) -> boost::asio::awaitable<HttpResponse> { co_return reply; });
        std::thread thread([&] { io.run_for(timeout); });
        UpstreamEvent event = callUpstream(server.port(), stream);
        io.stop();
        thread.join();
        return event;
    }

    static HttpResponse refusal() { return {503, {{"Retry-After", "1.5"}}, "{}"}; }

    /// The failure of a call whose connection the upstream closes during the answer. If it \p
    /// exits, it stops listening, too.
    static UpstreamFailure failureOfClosedConnection(bool stream, bool exits)
    {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        const std::uint16_t port = acceptor.local_endpoint().port();
        std::thread thread([&] {
            tcp::socket socket = acceptor.accept();
            if (exits)
                acceptor.close();
            std::array<char, 4096> request{};
            socket.read_some(boost::asio::buffer(request));
            const std::string partialAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nx";
            boost::asio::write(socket, boost::asio::buffer(partialAnswer));
        });
        const UpstreamEvent event = callUpstream(port, stream);
        thread.join();
        return std::get<UpstreamFailure>(event);
    }

    void refusedStreamReportsRetryAfter()
    {
        const auto failure = std::get<UpstreamFailure>(callAnsweredWith(true));
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamRefused);
        CPPUNIT_ASSERT(failure.retryAfter == milliseconds(1500));
    }

    void refusedServiceCallReportsRetryAfter()
    {
        const auto answer = std::get<UpstreamAnswer>(callAnsweredWith(false));
        CPPUNIT_ASSERT_EQUAL(503U, answer.reply.status);
        CPPUNIT_ASSERT(answer.retryAfter == milliseconds(1500));
    }

    void invalidRetryAfterIsIgnored()
    {
        CPPUNIT_ASSERT(parseRetryAfter(429, "2") == seconds(2));
        CPPUNIT_ASSERT(!parseRetryAfter(200, "2"));
        for (const std::string text : {"", "0", "-1", "nan", "inf", "2 s", "Thu, 03 Dec 2026"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseRetryAfter(503, text));
    }

    void closedStreamIsNotAnExit()
    {
        const UpstreamFailure failure = failureOfClosedConnection(true, false);
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void closedServiceCallIsNotAnExit()
    {
        const UpstreamFailure failure = failureOfClosedConnection(false, false);
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void serverErrorIsNotAnExit()
    {
        const auto failure = std::get<UpstreamFailure>(callAnsweredWith(true, {500, {}, "{}"}));
        CPPUNIT_ASSERT(failure.kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT(!failure.upstreamExited);
    }

    void refusedReconnectIsAnExit()
    {
        CPPUNIT_ASSERT(failureOfClosedConnection(true, true).upstreamExited);
        CPPUNIT_ASSERT(failureOfClosedConnection(false, true).upstreamExited);
    }

    /// A killed process may lose its connections some milliseconds before its listening socket,
    /// which accepts the probe meanwhile and closes it. Three engines were killed under one request
    /// that way, and the router sent it to a fourth.
    void exitThatStopsListeningLastIsAnExit()
    {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        const std::uint16_t port = acceptor.local_endpoint().port();
        std::thread thread([&] {
            tcp::socket socket = acceptor.accept();
            std::array<char, 4096> request{};
            socket.read_some(boost::asio::buffer(request));
            socket.close();
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            acceptor.close();
        });
        const UpstreamEvent event = callUpstream(port, true);
        thread.join();
        CPPUNIT_ASSERT(std::get<UpstreamFailure>(event).upstreamExited);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamClientTest);

} // namespace reachlead

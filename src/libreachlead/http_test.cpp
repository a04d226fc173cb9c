// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <reachlead/http.h>

namespace reachlead {

/// What clients can make a server of short requests hold.
class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(connectionThatWaitedLongestIsClosedForANewOne);
    CPPUNIT_TEST(longBodyIsNotRead);
    CPPUNIT_TEST(longHeadIsNotRead);
    CPPUNIT_TEST(shortRequestIsAnswered);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr std::size_t maxConnections = 3;

    struct Fixture
    {
        static HttpServerLimits limits()
        {
            HttpServerLimits limits = shortRequestLimits;
            limits.connections = maxConnections;
            return limits;
        }

        void run()
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(50));
        }

        /// Waits, for a few seconds at most, until the server has closed the connection.
        bool becomesClosed(tcp::socket &socket)
        {
            constexpr int maxRuns = 100;
            int n = 0;
            while (!isClosed(socket) && ++n < maxRuns)
                run();
            return n < maxRuns;
        }

        tcp::socket connect()
        {
            tcp::socket socket(io);
            socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
            run();
            return socket;
        }

        /// Sends a request; returns what the server sends before it closes or has nothing to send.
        std::string ask(tcp::socket &socket, const std::string &request)
        {
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(request), ec);
            constexpr int maxRuns = 100;
            std::string text;
            for (int n = 0; text.empty() && n < maxRuns && !isClosed(socket); ++n) {
                run();
                text = received(socket);
            }
            return text;
        }

        static std::string received(tcp::socket &socket)
        {
            boost::system::error_code ec;
            socket.non_blocking(true);
            std::string text;
            boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
            return text;
        }

        static bool isClosed(tcp::socket &socket)
        {
            boost::system::error_code ec;
            char byte = 0;
            socket.non_blocking(true);
            socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
            return ec && ec != boost::asio::error::would_block;
        }

        std::size_t handled = 0;
        boost::asio::io_context io{1};
        HttpServer server{io,
                          {"127.0.0.1", 0},
                          [this](const HttpRequest &) -> boost::asio::awaitable<HttpResponse> {
                              ++handled;
                              co_return HttpResponse{200, {}, "fine"};
                          },
                          limits()};
    };

    static constexpr std::string_view shortRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    void connectionThatWaitedLongestIsClosedForANewOne()
    {
        Fixture fixture;
        std::vector<tcp::socket> sockets;
        sockets.reserve(maxConnections + 1);
        for (std::size_t n = 0; n < maxConnections; ++n)
            sockets.push_back(fixture.connect());
        fixture.ask(sockets[0], std::string(shortRequest)); // waits again from now on
        sockets.push_back(fixture.connect());
        CPPUNIT_ASSERT(!Fixture::isClosed(sockets[0]));
        CPPUNIT_ASSERT(fixture.becomesClosed(sockets[1]));
        CPPUNIT_ASSERT(!Fixture::isClosed(sockets[2]));
        const std::string answer = fixture.ask(sockets.back(), std::string(shortRequest));
        CPPUNIT_ASSERT(answer.ends_with("fine"));
    }

    void longBodyIsNotRead()
    {
        Fixture fixture;
        tcp::socket socket = fixture.connect();
        fixture.ask(socket,
                    fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
                                shortRequestLimits.bodyBytes + 1));
        CPPUNIT_ASSERT(fixture.becomesClosed(socket));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.handled);
    }

    void longHeadIsNotRead()
    {
        Fixture fixture;
        tcp::socket socket = fixture.connect();
        fixture.ask(socket,
                    "GET / HTTP/1.1\r\nA: " + std::string(shortRequestLimits.headerBytes, 'a'));
        CPPUNIT_ASSERT(fixture.becomesClosed(socket));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.handled);
    }

    void shortRequestIsAnswered()
    {
        Fixture fixture;
        tcp::socket socket = fixture.connect();
        const std::string body(shortRequestLimits.bodyBytes, 'b');
        const std::string answer =
            fixture.ask(socket,
                        fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                                    body.size(), body));
        CPPUNIT_ASSERT(answer.ends_with("fine"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace reachlead

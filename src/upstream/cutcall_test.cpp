// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <reachlead/completion.h>

#include "upstream/ssecall.h"

namespace reachlead {

/// Calls of agents to an engine or a plain service whose answer ends after any of its bytes, or
/// follows an informational one.
class CutCallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutCallTest);
    CPPUNIT_TEST(serviceAnswerCutAnywhereIsNoAnswer);
    CPPUNIT_TEST(serviceAnswerToHeadCutAnywhereIsNoAnswer);
    CPPUNIT_TEST(unframedServiceAnswerWithoutABodyIsNoAnswer);
    CPPUNIT_TEST(unframedServiceStatusWithoutABodyIsAnAnswer);
    CPPUNIT_TEST(streamCutAnywhereIsNotComplete);
    CPPUNIT_TEST(informationalAnswerIsNotTheAnswer);
    CPPUNIT_TEST(statusThatIsNoneIsNoAnswer);
    CPPUNIT_TEST(partOfAnAnswerToAnUnreadRequestIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    /// Sends the same bytes to each connection that has sent a request, and ends it.
    struct Fixture
    {
        Fixture() { boost::asio::co_spawn(io, serve(), boost::asio::detached); }
        ~Fixture()
        {
            acceptor.close();
            io.stop();
        }

        boost::asio::awaitable<void> serve()
        {
            while (acceptor.is_open()) {
                boost::system::error_code ec;
                tcp::socket socket = co_await acceptor.async_accept(storeError(&ec));
                if (ec)
                    co_return;
                std::array<char, 4096> request{};
                co_await socket.async_read_some(boost::asio::buffer(request), storeError(&ec));
                co_await boost::asio::async_write(socket, boost::asio::buffer(answer),
                                                  storeError(&ec));
                if (isReset)
                    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            }
        }

        Endpoint address() { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

        template <class T> T run(std::function<boost::asio::awaitable<T>()> call)
        {
            std::optional<T> result;
            const auto keep = [](auto makeCall,
                                 std::optional<T> *out) -> boost::asio::awaitable<void> {
                *out = co_await makeCall();
            };
            boost::asio::co_spawn(io, keep(std::move(call), &result), boost::asio::detached);
            io.restart();
            while (!result && io.run_one_for(timeout) > 0) { }
            CPPUNIT_ASSERT(result.has_value());
            return std::move(*result);
        }

        std::optional<HttpResponse> callService(const std::string &method = "POST",
                                                CallProgress *progress = nullptr)
        {
            std::string reason;
            return run<std::optional<HttpResponse>>([&] {
                return httpCall(address(), HttpRequest{method, "/", {}, requestBody}, timeout,
                                &reason, progress);
            });
        }

        /// What a streamed call led to.
        struct Streamed
        {
            unsigned status = 0; ///< 0: no head was received
            std::string body;
            bool isComplete = false;
        };

        Streamed callEngine()
        {
            return run<Streamed>([this] { return stream(); });
        }

        boost::asio::awaitable<Streamed> stream()
        {
            Streamed streamed;
            SseCall call(io.get_executor(), address(), {});
            std::string reason = co_await call.connect();
            CPPUNIT_ASSERT_EQUAL(std::string(), reason);
            HttpRequest request{"POST", "/", {}, requestBody};
            reason = co_await call.send(std::move(request));
            if (!reason.empty())
                co_return streamed;
            streamed.status = call.status();
            while (true) {
                const std::string_view bytes = co_await call.readSome(&reason);
                if (bytes.empty())
                    break;
                streamed.body += bytes;
            }
            streamed.isComplete = call.isComplete();
            co_return streamed;
        }

        static constexpr std::chrono::seconds timeout{5};

        boost::asio::io_context io{1};
        tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
        std::string requestBody = "ask"; ///< the first 4 KB are read
        std::string answer;
        bool isReset = false;
    };

    static constexpr std::string_view lengthAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-After: 1\r\n\r\nwhole";
    static constexpr std::string_view chunkedAnswer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;x=y\r\nwho\r\n2\r\nle\r\n0\r\nX-Sum: 1\r\n\r\n";
    static constexpr std::string_view hint = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    /// Calls \p check for each part of the answer that is not all of it.
    static void cutEverywhere(Fixture &fixture, std::string_view whole,
                              const std::function<void(const std::string &)> &check)
    {
        for (const bool isReset : {false, true}) {
            fixture.isReset = isReset;
            for (std::size_t at = 0; at < whole.size(); ++at) {
                fixture.answer = whole.substr(0, at);
                check(fmt::format("{}: {}", isReset ? "reset" : "closed", fixture.answer));
            }
        }
        fixture.isReset = false;
        fixture.answer = whole;
    }

    void serviceAnswerCutAnywhereIsNoAnswer()
    {
        Fixture fixture;
        for (const std::string_view whole : {lengthAnswer, chunkedAnswer}) {
            cutEverywhere(fixture, whole, [&](const std::string &message) {
                CallProgress progress{};
                CPPUNIT_ASSERT_MESSAGE(message, !fixture.callService("POST", &progress));
                CPPUNIT_ASSERT_MESSAGE(message, progress == CallProgress::Sent);
            });
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), fixture.callService().value().body);
        }
    }

    void serviceAnswerToHeadCutAnywhereIsNoAnswer()
    {
        Fixture fixture;
        const std::string_view head = lengthAnswer.substr(0, lengthAnswer.find("whole"));
        cutEverywhere(fixture, head, [&](const std::string &message) {
            CPPUNIT_ASSERT_MESSAGE(message, !fixture.callService("HEAD"));
        });
        CPPUNIT_ASSERT_EQUAL(200U, fixture.callService("HEAD").value().status);
    }

    /// A service that is killed after the head closes its connections.
    void unframedServiceAnswerWithoutABodyIsNoAnswer()
    {
        Fixture fixture;
        CallProgress progress{};
        fixture.answer = "HTTP/1.1 200 OK\r\n\r\n";
        CPPUNIT_ASSERT(!fixture.callService("POST", &progress));
        CPPUNIT_ASSERT(progress == CallProgress::Sent);
        CPPUNIT_ASSERT(fixture.callService("HEAD").has_value());
        fixture.answer += "to the end";
        CPPUNIT_ASSERT_EQUAL(std::string("to the end"), fixture.callService().value().body);
    }

    void unframedServiceStatusWithoutABodyIsAnAnswer()
    {
        Fixture fixture;
        for (const unsigned status : {204U, 304U, 404U, 500U}) {
            fixture.answer = fmt::format("HTTP/1.1 {} X\r\n\r\n", status);
            CPPUNIT_ASSERT_EQUAL(status, fixture.callService().value().status);
        }
    }

    void streamCutAnywhereIsNotComplete()
    {
        Fixture fixture;
        for (const std::string_view whole : {lengthAnswer, chunkedAnswer}) {
            cutEverywhere(fixture, whole, [&](const std::string &message) {
                const Fixture::Streamed streamed = fixture.callEngine();
                CPPUNIT_ASSERT_MESSAGE(message, !streamed.isComplete);
                CPPUNIT_ASSERT_MESSAGE(message,
                                       std::string_view("whole").starts_with(streamed.body));
            });
            const Fixture::Streamed streamed = fixture.callEngine();
            CPPUNIT_ASSERT(streamed.isComplete);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), streamed.body);
        }
    }

    void informationalAnswerIsNotTheAnswer()
    {
        Fixture fixture;
        fixture.answer = std::string(hint);
        CallProgress progress{};
        CPPUNIT_ASSERT(!fixture.callService("POST", &progress));
        CPPUNIT_ASSERT(progress == CallProgress::Sent);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.callEngine().status);
        fixture.answer += lengthAnswer;
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), fixture.callService().value().body);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), fixture.callEngine().body);
    }

    void statusThatIsNoneIsNoAnswer()
    {
        Fixture fixture;
        for (const std::string status : {"000", "099", "600", "999"}) {
            fixture.answer = fmt::format("HTTP/1.1 {} X\r\nContent-Length: 5\r\n\r\nwhole", status);
            CallProgress progress{};
            CPPUNIT_ASSERT_MESSAGE(status, !fixture.callService("POST", &progress));
            CPPUNIT_ASSERT_MESSAGE(status, progress == CallProgress::Sent);
        }
    }

    /// The connection is reset while the request is still being written.
    void partOfAnAnswerToAnUnreadRequestIsNoAnswer()
    {
        Fixture fixture;
        fixture.requestBody.assign(8U << 20U, 'b');
        for (const std::string framing :
             {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 9\r\n"}) {
            fixture.answer = fmt::format("HTTP/1.1 200 OK\r\n{}\r\n4\r\npart\r\n", framing);
            for (const bool isReset : {false, true}) {
                fixture.isReset = isReset;
                CallProgress progress{};
                CPPUNIT_ASSERT_MESSAGE(framing, !fixture.callService("POST", &progress));
                CPPUNIT_ASSERT_MESSAGE(framing, progress == CallProgress::Sent);
                CPPUNIT_ASSERT_MESSAGE(framing, !fixture.callEngine().isComplete);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutCallTest);

} // namespace reachlead

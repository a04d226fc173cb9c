// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "upstream/upstreamclient.h"

namespace reachlead {

/// Streamed answers of an engine with bytes that are not of the run, over real sockets. The tokens
/// before these are delivered; the answer must not count as whole.
class EngineAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineAnswerTest);
    CPPUNIT_TEST(soundAnswersAreWhole);
    CPPUNIT_TEST(answerWithBytesThatAreNoEventIsNotWhole);
    CPPUNIT_TEST(answerWithEventsOutOfOrderIsNotWhole);
    CPPUNIT_TEST(answerWithAnErrorIsNotWhole);
    CPPUNIT_TEST(answerWithAnotherChoiceIsNotWhole);
    CPPUNIT_TEST(answerWithTextOfAnotherTypeIsNotWhole);
    CPPUNIT_TEST(answerWithEventsOfAnotherRunIsNotWhole);
    CPPUNIT_TEST(answerWithTextAfterItsEndIsNotWhole);
    CPPUNIT_TEST(answerThatGoesOnAfterItsLastEventIsNotWhole);
    CPPUNIT_TEST(answerThatGoesOnLaterIsNotWhole);
    CPPUNIT_TEST(answerWithoutAnEventIsNotWhole);
    CPPUNIT_TEST(answerWithoutALastEventIsNotWhole);
    CPPUNIT_TEST(bodyOfAnotherTypeIsNoStream);
    CPPUNIT_TEST(bodyWithoutAnEndIsWhole);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr auto timeout = std::chrono::seconds(5);
    static constexpr std::string_view first = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    static constexpr std::string_view second = "data: {\"choices\":[{\"text\":\"b\"}]}\n\n";
    static constexpr std::string_view last = "data: [DONE]\n\n";

    /// How an engine's answer is framed.
    struct Framing
    {
        std::string contentType = "text/event-stream";
        bool hasLength = true;
        std::string later; ///< sent some time after the rest
        std::uint64_t resumeFrom = 0;
    };

    struct Answer
    {
        std::string text;
        std::optional<UpstreamEvent> end;
        std::uint64_t rejectedCount = 0;

        bool isWhole() const { return std::holds_alternative<UpstreamDone>(end.value()); }
        const UpstreamFailure &failure() const { return std::get<UpstreamFailure>(end.value()); }
    };

    static void sendAnswer(tcp::acceptor &acceptor, const std::string &body, const Framing &framing)
    {
        tcp::socket socket = acceptor.accept();
        std::array<char, 4096> request{};
        socket.read_some(boost::asio::buffer(request));
        std::string out = "HTTP/1.1 200 OK\r\n";
        if (!framing.contentType.empty())
            out += fmt::format("Content-Type: {}\r\n", framing.contentType);
        if (framing.hasLength)
            out += fmt::format("Content-Length: {}\r\n", body.size() + framing.later.size());
        out += "\r\n" + body;
        boost::asio::write(socket, boost::asio::buffer(out));
        boost::system::error_code ignored;
        if (!framing.later.empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            boost::asio::write(socket, boost::asio::buffer(framing.later), ignored);
        }
        if (!framing.hasLength) // until the agent closes it
            socket.read_some(boost::asio::buffer(request), ignored);
    }

    static Answer receive(const std::string &body, const Framing &framing)
    {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        std::thread engine([&] { sendAnswer(acceptor, body, framing); });
        Counters counters;
        UpstreamClient::Options options;
        options.counters = &counters;
        options.upstream = {"127.0.0.1", acceptor.local_endpoint().port()};
        options.stallTimeout = milliseconds(3000);
        UpstreamClient client(options, [] { });
        Dispatch dispatch;
        dispatch.stream = true;
        dispatch.resumeFrom = framing.resumeFrom;
        dispatch.call = {"POST", "/x", {}, "{}"};
        client.start({AttemptKey{}, std::make_shared<const Dispatch>(dispatch)});
        Answer answer;
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!answer.end && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            for (UpstreamEvent &event : client.takeEvents()) {
                if (const auto *token = std::get_if<UpstreamToken>(&event))
                    answer.text += token->text;
                else
                    answer.end = std::move(event);
            }
        }
        client.join();
        engine.join();
        CPPUNIT_ASSERT_MESSAGE(body, answer.end.has_value());
        answer.rejectedCount = counters.value(Counter::AnswersRejected);
        return answer;
    }

    static Answer receive(const std::string &body) { return receive(body, Framing()); }

    static std::string join(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (const std::string_view part : parts)
            text += part;
        return text;
    }

    /// Checks that an answer with \p foreign between its events is not whole, that what is behind
    /// is not delivered, and that another engine may resume it.
    static void checkForeign(std::string_view foreign)
    {
        const std::string message(foreign);
        const Answer answer = receive(join({first, foreign, second, last}));
        CPPUNIT_ASSERT_MESSAGE(message, !answer.isWhole());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("a"), answer.text);
        CPPUNIT_ASSERT_MESSAGE(message, answer.failure().kind == ErrorKind::UpstreamLost);
        CPPUNIT_ASSERT_MESSAGE(message, answer.failure().outcome == Outcome::Ran);
        CPPUNIT_ASSERT_MESSAGE(message, !answer.failure().upstreamExited);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{1}, answer.rejectedCount);
    }

    void soundAnswersAreWhole()
    {
        const std::string_view pauses[] = {
            "",
            "\n\n",
            ": ping\n\n",
            ":\r\n\r\n",
            "retry: 100\n\n",
            "event: ping\n\n",
            "id: x\n\n",
            "id: 7\nevent: chunk\nx-engine_field: 1\ndata: {\"choices\":[]}\n\n",
            "data: {\"id\":\"\",\"choices\":[]}\n\n",
            "data: {\"error\":null,\"choices\":[{\"index\":0,\"delta\":{\"content\":null}}]}\n\n",
            "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"\"}]}\n\n",
            "data: {\"id\":\"r1\",\"choices\":[]}\n\ndata: {\"id\":\"r1\",\"choices\":[]}\n\n",
        };
        for (const std::string_view pause : pauses) {
            const Answer answer = receive(join({first, pause, second, last}));
            CPPUNIT_ASSERT_MESSAGE(std::string(pause), answer.isWhole());
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), answer.text);
        }
        const std::string_view finish =
            "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n";
        CPPUNIT_ASSERT(receive(join({first, finish, last})).isWhole());
        CPPUNIT_ASSERT(receive(join({first, last, "\n: end\n\n"})).isWhole());
        CPPUNIT_ASSERT(receive(join({finish, last})).isWhole()); // an answer without text
        CPPUNIT_ASSERT_EQUAL(std::string("ab"),
                             receive(join({"\xEF\xBB\xBF", first, second, last})).text);
    }

    void answerWithBytesThatAreNoEventIsNotWhole()
    {
        checkForeign("garbage\n\n");
        checkForeign("garbage\r\n\r\n");
        checkForeign(std::string_view("gar\0bage\n\n", 10));
        checkForeign("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        checkForeign("Content-Type: text/html\n\n");
        checkForeign("{\"choices\":[{\"text\":\"x\"}]}\n\n");
        checkForeign("\xff\xfe\xfd: \n");
        checkForeign("half an event"); // and then the next one
    }

    void answerWithEventsOutOfOrderIsNotWhole()
    {
        const std::string_view event = "data: {\"choices\":[{\"text\":\"x\"}]}\n\n";
        for (const std::string_view id : {"id: 4\n", "id: 3\n"}) {
            const Answer answer =
                receive(join({"id: 2\n", first, "id: 4\n", second, id, event, "id: 5\n", last}));
            CPPUNIT_ASSERT_MESSAGE(std::string(id), !answer.isWhole());
            CPPUNIT_ASSERT_EQUAL(std::string("ab"), answer.text);
        }
        const Answer answer = receive(join({"id: 2\n", first, "id: 4\n", second, last}));
        CPPUNIT_ASSERT(answer.isWhole());
    }

    void answerWithAnErrorIsNotWhole()
    {
        checkForeign("data: {\"error\":{\"message\":\"x\"}}\n\n");
        checkForeign("data: {\"error\":{\"message\":\"x\"},\"choices\":[]}\n\n");
        checkForeign("event: error\ndata: out of memory\n\n");
    }

    void answerWithAnotherChoiceIsNotWhole()
    {
        checkForeign("data: {\"choices\":[{\"index\":1,\"text\":\"x\"}]}\n\n");
        checkForeign("data: {\"choices\":[{\"index\":-1,\"text\":\"x\"}]}\n\n");
        checkForeign("data: {\"choices\":[{\"index\":\"0\",\"text\":\"x\"}]}\n\n");
        checkForeign("data: {\"choices\":[{\"index\":0,\"text\":\"x\"},{\"index\":1}]}\n\n");
    }

    void answerWithTextOfAnotherTypeIsNotWhole()
    {
        checkForeign("data: {\"choices\":[{\"text\":5}]}\n\n");
        checkForeign("data: {\"choices\":[{\"delta\":\"x\"}]}\n\n");
        checkForeign("data: {\"choices\":[{\"delta\":{\"content\":[\"x\"]}}]}\n\n");
        checkForeign("data: {\"choices\":{\"text\":\"x\"}}\n\n");
        checkForeign("data: {\"choices\":[{\"text\":\"x\"}]\n\n");
    }

    void answerWithEventsOfAnotherRunIsNotWhole()
    {
        checkForeign("data: {\"id\":\"r1\",\"choices\":[]}\n\n"
                     "data: {\"id\":\"r2\",\"choices\":[{\"text\":\"x\"}]}\n\n");
    }

    void answerWithTextAfterItsEndIsNotWhole()
    {
        checkForeign("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n");
        checkForeign("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n");
    }

    void answerThatGoesOnAfterItsLastEventIsNotWhole()
    {
        checkForeign(last);
        for (const std::string_view rest :
             {std::string_view("garbage\n\n"), std::string_view("garbage"), second, last,
              std::string_view("data: {\"choices\":[]}\n\n"), std::string_view("id: 9\n\n"),
              std::string_view("event: x\n"), std::string_view("foo: bar\n")}) {
            const Answer answer = receive(join({first, last, rest}));
            CPPUNIT_ASSERT_MESSAGE(std::string(rest), !answer.isWhole());
            CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.text);
        }
        for (const std::string_view rest : {"\n", "\r\n", ": bye", ": bye\n", ": bye\n\n"}) {
            const Answer answer = receive(join({first, last, rest}));
            CPPUNIT_ASSERT_MESSAGE(std::string(rest), answer.isWhole());
        }
    }

    void answerThatGoesOnLaterIsNotWhole()
    {
        Framing framing;
        framing.later = second;
        const Answer answer = receive(join({first, last}), framing);
        CPPUNIT_ASSERT(!answer.isWhole());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.text);
    }

    /// An engine that resumes behind the last token has nothing more to send.
    void answerWithoutAnEventIsNotWhole()
    {
        CPPUNIT_ASSERT(!receive(std::string(last)).isWhole());
        Framing framing;
        framing.resumeFrom = 3;
        CPPUNIT_ASSERT(receive(std::string(last), framing).isWhole());
    }

    void answerWithoutALastEventIsNotWhole()
    {
        CPPUNIT_ASSERT(!receive(join({first, second})).isWhole());
        CPPUNIT_ASSERT(!receive(join({first, second, "data: [DONE]\n"})).isWhole());
        CPPUNIT_ASSERT(!receive(join({first, second, "data: [DONE] \n\n"})).isWhole());
    }

    void bodyOfAnotherTypeIsNoStream()
    {
        Framing framing;
        for (const std::string type : {"text/html", "application/json", "text/event-streams"}) {
            framing.contentType = type;
            const Answer answer = receive(join({first, last}), framing);
            CPPUNIT_ASSERT_MESSAGE(type, !answer.isWhole());
            CPPUNIT_ASSERT_EQUAL(std::string(), answer.text);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer.rejectedCount);
        }
        for (const std::string type : {"", "Text/Event-Stream; charset=utf-8"}) {
            framing.contentType = type;
            CPPUNIT_ASSERT_MESSAGE(type, receive(join({first, last}), framing).isWhole());
        }
    }

    /// The last event is the end by the engines' protocol.
    void bodyWithoutAnEndIsWhole()
    {
        Framing framing;
        framing.hasLength = false;
        const Answer answer = receive(join({first, last}), framing);
        CPPUNIT_ASSERT(answer.isWhole());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), answer.text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineAnswerTest);

} // namespace reachlead

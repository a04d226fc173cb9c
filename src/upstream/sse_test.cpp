// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "upstream/enginejson.h"
#include "upstream/sse.h"

namespace reachlead {

class SseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SseTest);
    CPPUNIT_TEST(splitInputGivesSameEvents);
    CPPUNIT_TEST(decodesArbitraryBytes);
    CPPUNIT_TEST(tooLargeEventIsAnError);
    CPPUNIT_TEST(decodingStopsAtTheFirstFault);
    CPPUNIT_TEST(parsesEngineEvents);
    CPPUNIT_TEST(requestBodyHasResumePosition);
    CPPUNIT_TEST_SUITE_END();

    void splitInputGivesSameEvents()
    {
        const std::string stream = ": note\r\ndata: one\r\n\r\ndata:two\ndata: more\n\nid: 1\n\n";
        const bool passed = rc::check("split anywhere", [&] {
            SseDecoder decoder;
            std::vector<std::string> events;
            std::string_view left = stream;
            while (!left.empty()) {
                const auto n = *rc::gen::inRange<std::size_t>(1, left.size() + 1);
                const auto decoded = decoder.feed(left.substr(0, n));
                RC_ASSERT(decoder.fault().empty());
                events.insert(events.end(), decoded.begin(), decoded.end());
                left.remove_prefix(n);
            }
            RC_ASSERT(events == (std::vector<std::string>{"one", "two\nmore"}));
        });
        CPPUNIT_ASSERT(passed);
    }

    void decodesArbitraryBytes()
    {
        const bool passed = rc::check("any bytes", [](const std::string &bytes) {
            SseDecoder decoder;
            (void)decoder.feed(bytes);
            (void)parseEngineEvent(bytes);
        });
        CPPUNIT_ASSERT(passed);
    }

    void tooLargeEventIsAnError()
    {
        SseDecoder decoder;
        const std::string line = "data: " + std::string(1U << 16U, 'x') + "\n";
        for (unsigned n = 0; n < 20 && decoder.fault().empty(); ++n)
            CPPUNIT_ASSERT(decoder.feed(line).empty());
        CPPUNIT_ASSERT(!decoder.fault().empty());
        CPPUNIT_ASSERT(decoder.feed("\n\ndata: x\n\n").empty());
    }

    /// An event in front of bytes that are none is sound, and what is behind them isn't.
    void decodingStopsAtTheFirstFault()
    {
        const std::string stream = "id: 1\ndata: one\n\ngarbage\n\nid: 2\ndata: two\n\n";
        const bool passed = rc::check("split anywhere", [&] {
            SseDecoder decoder;
            std::vector<std::string> events;
            std::string_view left = stream;
            while (!left.empty()) {
                const auto n = *rc::gen::inRange<std::size_t>(1, left.size() + 1);
                const auto decoded = decoder.feed(left.substr(0, n));
                events.insert(events.end(), decoded.begin(), decoded.end());
                left.remove_prefix(n);
            }
            RC_ASSERT(events == std::vector<std::string>{"one"});
            RC_ASSERT(decoder.fault() == "line that is no field of an event");
        });
        CPPUNIT_ASSERT(passed);
    }

    void parsesEngineEvents()
    {
        using Kind = EngineEvent::Kind;
        const auto chat = parseEngineEvent(R"({"choices":[{"delta":{"content":"hi"}}]})");
        CPPUNIT_ASSERT(chat.kind == Kind::Text && chat.text == "hi");
        const auto plain = parseEngineEvent(R"({"choices":[{"text":"yo"}]})");
        CPPUNIT_ASSERT(plain.kind == Kind::Text && plain.text == "yo");
        CPPUNIT_ASSERT(parseEngineEvent("[DONE]").kind == Kind::Done);
        CPPUNIT_ASSERT(parseEngineEvent(R"({"choices":[{"delta":{}}]})").kind == Kind::Empty);
        CPPUNIT_ASSERT(parseEngineEvent(R"({"choices":[]})").kind == Kind::Empty);
        CPPUNIT_ASSERT(parseEngineEvent(R"({"error":"x"})").kind == Kind::Malformed);
        CPPUNIT_ASSERT(parseEngineEvent("{").kind == Kind::Malformed);
    }

    void requestBodyHasResumePosition()
    {
        Dispatch dispatch;
        dispatch.tier = 3;
        dispatch.call.body = R"({"model":"m","prompt":"p"})";
        CPPUNIT_ASSERT(engineRequestBody(dispatch)->find("resume") == std::string::npos);
        dispatch.resumeFrom = 5;
        dispatch.resumeText = "so far";
        const std::string body = *engineRequestBody(dispatch);
        CPPUNIT_ASSERT(body.find(R"("resume_from":5)") != std::string::npos);
        CPPUNIT_ASSERT(body.find(R"("priority":3)") != std::string::npos);
        dispatch.call.body = "[]";
        CPPUNIT_ASSERT(!engineRequestBody(dispatch));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseTest);

} // namespace reachlead

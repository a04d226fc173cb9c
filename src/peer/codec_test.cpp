// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "peer/codec.h"
#include "peer/linkstatemachine.h"

namespace reachlead {

/// Untrusted frames must be refused with a reason, never lead to a crash, an exception or an
/// allocation larger than the frame.
class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(arbitraryBytesAreHandled);
    CPPUNIT_TEST(corruptFramesAreHandled);
    CPPUNIT_TEST(hostileSizesAllocateNothing);
    CPPUNIT_TEST(unknownKindsIndexNoTable);
    CPPUNIT_TEST(linkRejectsInvalidTransitions);
    CPPUNIT_TEST_SUITE_END();

    static Dispatch dispatch()
    {
        Dispatch message;
        message.id = {Incarnation{7}, 9};
        message.attempt = 2;
        message.account = AccountName("depot");
        message.stream = true;
        message.call = {"POST", "/x", {{"a", "b"}}, std::string(300, 'z')};
        return message;
    }

    template <class Message> static std::string payload(const Message &message)
    {
        std::string frame;
        appendFrame(&frame, message);
        CPPUNIT_ASSERT(frameLength(frame) == frame.size() - frameHeaderBytes);
        return frame.substr(frameHeaderBytes);
    }

    void messagesRoundTrip()
    {
        std::string reason;
        const auto decoded = decodeToAgent(payload(ToAgent(dispatch())), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, decoded.has_value());
        const auto &message = std::get<Dispatch>(*decoded);
        CPPUNIT_ASSERT(message.id == dispatch().id);
        CPPUNIT_ASSERT_EQUAL(dispatch().call.body, message.call.body);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), message.call.headers.at(0).value);
        const AttemptResult result{
            {Incarnation{1}, 2}, 3, ErrorKind::UpstreamLost, Outcome::Ran, "why", 5, 6, 0, {}, {}};
        const auto decodedResult = decodeToRouter(payload(ToRouter(result)), &reason);
        CPPUNIT_ASSERT(decodedResult
                       && std::get<AttemptResult>(*decodedResult).kind == ErrorKind::UpstreamLost);
        const Heartbeat heartbeat{1, VmName("a"), Incarnation{3}, 4, {}, ""};
        CPPUNIT_ASSERT(decodeHeartbeat(encodeHeartbeat(heartbeat), &reason)->sequence == 4);
        CPPUNIT_ASSERT(!decodeToRouter(payload(ToRouter(result)) + "x", &reason));
    }

    void arbitraryBytesAreHandled()
    {
        const bool passed = rc::check("any bytes", [](const std::string &bytes) {
            std::string reason;
            (void)decodeToAgent(bytes, &reason);
            (void)decodeToRouter(bytes, &reason);
            (void)decodeHeartbeat(bytes, &reason);
        });
        CPPUNIT_ASSERT(passed);
    }

    void corruptFramesAreHandled()
    {
        const std::string encoded = payload(ToAgent(dispatch()));
        const bool passed = rc::check("flipped frames", [&] {
            std::string bytes = encoded;
            const auto flipCount = *rc::gen::inRange(1, 8);
            for (int n = 0; n < flipCount; ++n)
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            std::string reason;
            (void)decodeToAgent(bytes, &reason);
        });
        CPPUNIT_ASSERT(passed);
    }

    void hostileSizesAllocateNothing()
    {
        std::string bytes = payload(ToAgent(Hello{1, VmName("vm"), Incarnation{1}, 1, 1, "", ""}));
        const auto at = bytes.find("vm") - sizeof(std::uint32_t);
        bytes.replace(at, sizeof(std::uint32_t), "\xff\xff\xff\x7f");
        std::string reason;
        CPPUNIT_ASSERT(!decodeToAgent(bytes, &reason));
        CPPUNIT_ASSERT_EQUAL(std::string("size is larger than the frame"), reason);
        CPPUNIT_ASSERT(!frameLength(std::string_view("\xff\xff\xff\xff", 4)));
    }

    void unknownKindsIndexNoTable()
    {
        std::string reason;
        for (const unsigned value : {static_cast<unsigned>(ErrorKind::Size), 255U}) {
            const auto kind = static_cast<ErrorKind>(value);
            const auto outcome = static_cast<Outcome>(value);
            const AttemptResult result{{}, 1, kind, outcome, "", 0, 0, 0, {}, {}};
            const auto end = decodeToRouter(payload(ToRouter(result)), &reason);
            CPPUNIT_ASSERT(std::get<AttemptResult>(*end).kind == ErrorKind::Internal);
            CPPUNIT_ASSERT(std::get<AttemptResult>(*end).outcome == Outcome::Unknown);
            const auto refusal =
                decodeToRouter(payload(ToRouter(Refused{{}, 1, kind, ""})), &reason);
            CPPUNIT_ASSERT(std::get<Refused>(*refusal).kind == ErrorKind::Internal);
        }
    }

    void linkRejectsInvalidTransitions()
    {
        LinkStateMachine link;
        CPPUNIT_ASSERT(!link.apply(LinkEvent::Welcomed));
        CPPUNIT_ASSERT(link.apply(LinkEvent::Connect));
        CPPUNIT_ASSERT(link.state() == LinkState::Connecting);
        CPPUNIT_ASSERT(link.apply(LinkEvent::Connected));
        CPPUNIT_ASSERT(link.state() == LinkState::Handshaking);
        CPPUNIT_ASSERT(link.apply(LinkEvent::Welcomed));
        CPPUNIT_ASSERT(link.state() == LinkState::Up);
        CPPUNIT_ASSERT(link.apply(LinkEvent::Disconnected));
        CPPUNIT_ASSERT(link.state() == LinkState::Waiting);
        CPPUNIT_ASSERT(link.apply(LinkEvent::Remove));
        CPPUNIT_ASSERT(!link.apply(LinkEvent::Connect));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace reachlead

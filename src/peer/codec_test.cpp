// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "peer/codec.h"
#include "peer/linkstatemachine.h"

namespace reachlead {

/// Frames that nobody vouches for must end in a reason, never in a crash, a throw or an
/// allocation beyond the frame.
class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(messagesComeBack);
    CPPUNIT_TEST(anyBytesAreTaken);
    CPPUNIT_TEST(flippedFramesAreTaken);
    CPPUNIT_TEST(hostileSizesAllocateNothing);
    CPPUNIT_TEST(linkAllowsOnlyItsMoves);
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

    void messagesComeBack()
    {
        std::string reason;
        const auto got = decodeToAgent(payload(ToAgent(dispatch())), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, got.has_value());
        const auto &message = std::get<Dispatch>(*got);
        CPPUNIT_ASSERT(message.id == dispatch().id);
        CPPUNIT_ASSERT_EQUAL(dispatch().call.body, message.call.body);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), message.call.headers.at(0).value);
        const AttemptResult end{
            {Incarnation{1}, 2}, 3, ErrorKind::UpstreamLost, Outcome::Ran, "why", 5, 6, 0, {}, {}};
        const auto back = decodeToRouter(payload(ToRouter(end)), &reason);
        CPPUNIT_ASSERT(back && std::get<AttemptResult>(*back).kind == ErrorKind::UpstreamLost);
        const Heartbeat beat{1, VmName("a"), Incarnation{3}, 4, {}, ""};
        CPPUNIT_ASSERT(decodeHeartbeat(encodeHeartbeat(beat), &reason)->sequence == 4);
        CPPUNIT_ASSERT(!decodeToRouter(payload(ToRouter(end)) + "x", &reason));
    }

    void anyBytesAreTaken()
    {
        const bool good = rc::check("any bytes", [](const std::string &bytes) {
            std::string reason;
            (void)decodeToAgent(bytes, &reason);
            (void)decodeToRouter(bytes, &reason);
            (void)decodeHeartbeat(bytes, &reason);
        });
        CPPUNIT_ASSERT(good);
    }

    void flippedFramesAreTaken()
    {
        const std::string whole = payload(ToAgent(dispatch()));
        const bool good = rc::check("flipped frames", [&] {
            std::string bytes = whole;
            const auto flips = *rc::gen::inRange(1, 8);
            for (int n = 0; n < flips; ++n)
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            std::string reason;
            (void)decodeToAgent(bytes, &reason);
        });
        CPPUNIT_ASSERT(good);
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

    void linkAllowsOnlyItsMoves()
    {
        LinkStateMachine life;
        CPPUNIT_ASSERT(!life.apply(LinkEvent::Welcomed));
        CPPUNIT_ASSERT(life.apply(LinkEvent::Dial));
        CPPUNIT_ASSERT(life.state() == LinkState::Connecting);
        CPPUNIT_ASSERT(life.apply(LinkEvent::Connected));
        CPPUNIT_ASSERT(life.state() == LinkState::Greeting);
        CPPUNIT_ASSERT(life.apply(LinkEvent::Welcomed));
        CPPUNIT_ASSERT(life.state() == LinkState::Up);
        CPPUNIT_ASSERT(life.apply(LinkEvent::Broken));
        CPPUNIT_ASSERT(life.state() == LinkState::Waiting);
        CPPUNIT_ASSERT(life.apply(LinkEvent::Remove));
        CPPUNIT_ASSERT(!life.apply(LinkEvent::Dial));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include <reachlead/eventsplitter.h>

namespace reachlead {

/// Upstreams that send something else than the next event of the run.
class EventSequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSequenceTest);
    CPPUNIT_TEST(bytesThatAreNoEventAreNotPassedOn);
    CPPUNIT_TEST(eventsBeforeARejectedOneArePassedOn);
    CPPUNIT_TEST(rejectionNamesTheIdDueAndTheIdSeen);
    CPPUNIT_TEST(unusualEventsOfARunArePassedOn);
    CPPUNIT_TEST(byteOrderMarkIsLeftOut);
    CPPUNIT_TEST(commentAtTheEndIsNoPartOfAnEvent);
    CPPUNIT_TEST(tooLongEventNamesTheIdDue);
    CPPUNIT_TEST(carriageReturnHidesNoEvent);
    CPPUNIT_TEST(bytesSplitAnywhereGiveTheSame);
    CPPUNIT_TEST(firstEventFollowsThePositionAskedFor);
    CPPUNIT_TEST(firstEventOfAnUnknownPositionMayHaveAnyId);
    CPPUNIT_TEST(nothingFollowsTheLargestId);
    CPPUNIT_TEST(answerAfterARejectionGoesOnBehindTheLastEvent);
    CPPUNIT_TEST(answersThatAreNoRunAreNotChecked);
    CPPUNIT_TEST(onlyAPrefixOfTheRunIsEverPassedOn);
    CPPUNIT_TEST_SUITE_END();

    static std::string event(std::uint64_t id)
    {
        return fmt::format("id: {0}\ndata: x{0}\n\n", id);
    }

    static EventSplitter newRun(std::optional<std::uint64_t> position = 0)
    {
        EventSplitter splitter;
        splitter.beginAnswer(EventCheck::OfOneRun, position);
        return splitter;
    }

    /// The fault of the third event, after two sound ones, which alone are passed on.
    static std::optional<EventFault> faultOf(std::string_view bytes)
    {
        EventSplitter splitter = newRun();
        const std::string sound = event(1) + event(2);
        CPPUNIT_ASSERT_EQUAL(sound, splitter.feed(sound + std::string(bytes)));
        return splitter.rejection() ? std::optional(splitter.rejection()->fault) : std::nullopt;
    }

    void bytesThatAreNoEventAreNotPassedOn()
    {
        using namespace std::string_literals;
        const std::vector<std::pair<std::string, EventFault>> cases{
            {"\x93\xfe garbage\n\n", EventFault::InvalidField},
            {"garbage\r\n\r\n", EventFault::InvalidField},
            {"a\0b: c\n\n"s, EventFault::InvalidField},
            {"garbage\nid: 3\ndata: x3\n\n", EventFault::InvalidField},
            {"ga rbage: x\nid: 3\ndata: x3\n\n", EventFault::InvalidField},
            {"garbageid: 3\ndata: x3\n\n", EventFault::NoId},
            {"data: x3\n\n", EventFault::NoId},
            {"event: ping\n\n", EventFault::NoId},
            {"id\ndata: x3\n\n", EventFault::InvalidField},
            {"id:\ndata: x3\n\n", EventFault::InvalidId},
            {"id: \ndata: x3\n\n", EventFault::InvalidId},
            {"id: x\ndata: x3\n\n", EventFault::InvalidId},
            {"id: -4\ndata: x3\n\n", EventFault::InvalidId},
            {"id: +3\ndata: x3\n\n", EventFault::InvalidId},
            {"id: 3x\ndata: x3\n\n", EventFault::InvalidId},
            {"id:  3\ndata: x3\n\n", EventFault::InvalidId},
            {"id: 18446744073709551616\ndata: x3\n\n", EventFault::InvalidId},
            {"id: 3\ndata: x3\nid: 4\ndata: x4\n\n", EventFault::SecondId},
            {"id: 3\n\n", EventFault::NoData},
            {event(2), EventFault::Repeated},
            {event(1), EventFault::Repeated},
            {event(0), EventFault::Repeated},
            {event(4), EventFault::Skipped},
            {event(std::numeric_limits<std::uint64_t>::max()), EventFault::Skipped}};
        for (const auto &[bytes, fault] : cases)
            CPPUNIT_ASSERT_MESSAGE(bytes, faultOf(bytes) == fault);
    }

    void eventsBeforeARejectedOneArePassedOn()
    {
        EventSplitter splitter = newRun();
        const std::string sound = event(1) + ": note\n\n" + event(2);
        CPPUNIT_ASSERT_EQUAL(sound, splitter.feed(sound + event(2) + event(3) + "id: 4"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, splitter.eventCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, splitter.partialBytes());
        // The next event would be sound without the bytes before it.
        CPPUNIT_ASSERT(faultOf("garbage\n\n" + event(3)) == EventFault::InvalidField);
    }

    void rejectionNamesTheIdDueAndTheIdSeen()
    {
        EventSplitter splitter = newRun();
        splitter.feed(event(1) + event(7));
        CPPUNIT_ASSERT(splitter.rejection()->due == std::optional<std::uint64_t>(2));
        CPPUNIT_ASSERT(splitter.rejection()->seen == std::optional<std::uint64_t>(7));
    }

    void unusualEventsOfARunArePassedOn()
    {
        const std::vector<std::string> streams{
            "\n\n: note\n\n\r\n" + event(1) + "\n\n:\r\n" + event(2),
            "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
            "weight-versions: 3\nid: 1\nevent: piece\nretry: 10\ndata: x\n\n",
            "data: x\nid:1\n\n",
            "id: 1\ndata\n\n",
            "id: 01\ndata:\ndata: second line\n: note\n\n",
            "id: 1\ndata: any \x01\xff bytes\n\n"};
        for (const std::string &stream : streams) {
            EventSplitter splitter = newRun();
            CPPUNIT_ASSERT_EQUAL(stream, splitter.feed(stream));
            CPPUNIT_ASSERT_MESSAGE(stream, !splitter.rejection());
        }
    }

    /// The format allows one at the beginning of a stream. In the middle of an answer that goes on
    /// at another upstream it would be part of a field's name.
    void byteOrderMarkIsLeftOut()
    {
        const std::string mark = "\xEF\xBB\xBF";
        for (std::size_t step = 1; step <= 4; ++step) {
            EventSplitter splitter = newRun();
            std::string out;
            for (std::uint64_t id = 1; id <= 2; ++id) {
                splitter.beginAnswer(EventCheck::OfOneRun, 0);
                const std::string answer = mark + event(id);
                for (std::size_t at = 0; at < answer.size(); at += step)
                    out += splitter.feed(std::string_view(answer).substr(at, step));
            }
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), out);
        }
        CPPUNIT_ASSERT(faultOf(mark + event(3)) == EventFault::InvalidField);
        CPPUNIT_ASSERT(faultOf(mark + "\n\n") == EventFault::InvalidField);
    }

    void commentAtTheEndIsNoPartOfAnEvent()
    {
        for (const std::string comment : {":", ": bye", ": bye\n", ": bye\r\n: again"}) {
            EventSplitter splitter = newRun();
            splitter.feed(event(1) + comment);
            CPPUNIT_ASSERT_MESSAGE(comment, !splitter.hasPartialEvent());
        }
        for (const std::string part : {"i", "id: 2\n", ": note\nid: 2", "id: 2\n: note\n"}) {
            EventSplitter splitter = newRun();
            splitter.feed(event(1) + part);
            CPPUNIT_ASSERT_MESSAGE(part, splitter.hasPartialEvent());
        }
    }

    void tooLongEventNamesTheIdDue()
    {
        EventSplitter splitter = newRun();
        splitter.feed(event(1) + std::string(EventSplitter::maxEventBytes + 1, 'x'));
        CPPUNIT_ASSERT(splitter.rejection()->fault == EventFault::TooLong);
        CPPUNIT_ASSERT(splitter.rejection()->due == std::optional<std::uint64_t>(2));
    }

    /// A lone CR ends a line for callers that follow the format.
    void carriageReturnHidesNoEvent()
    {
        for (const std::string bytes :
             {": note\rid: 77\rdata: x\r\r\n\n", "id: 3\ndata: x\r\rid: 77\rdata: y\r\r\n\n",
              "id: 3\ndata: x\rid: 77\n\n"})
            CPPUNIT_ASSERT_MESSAGE(bytes, faultOf(bytes) == EventFault::InvalidField);
    }

    void bytesSplitAnywhereGiveTheSame()
    {
        const std::string bytes =
            event(1) + "id: 2\r\ndata: y\r\n\r\n: note\n\n" + event(3) + "x\n\n" + event(4);
        for (std::size_t step = 1; step < bytes.size(); ++step) {
            EventSplitter splitter = newRun();
            std::string out;
            for (std::size_t at = 0; at < bytes.size() && !splitter.rejection(); at += step)
                out += splitter.feed(std::string_view(bytes).substr(at, step));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, splitter.eventCount());
            CPPUNIT_ASSERT_EQUAL(bytes.substr(0, bytes.find("x\n\n")), out);
        }
    }

    void firstEventFollowsThePositionAskedFor()
    {
        for (const std::uint64_t first : {1, 11, 13}) {
            EventSplitter splitter = newRun(11);
            CPPUNIT_ASSERT(splitter.feed(event(first)).empty());
            CPPUNIT_ASSERT(splitter.rejection());
        }
        EventSplitter splitter = newRun(11);
        CPPUNIT_ASSERT_EQUAL(event(12), splitter.feed(event(12)));
    }

    void firstEventOfAnUnknownPositionMayHaveAnyId()
    {
        EventSplitter splitter = newRun(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(event(7), splitter.feed(event(7)));
        CPPUNIT_ASSERT(splitter.feed(event(9)).empty());
    }

    void nothingFollowsTheLargestId()
    {
        EventSplitter splitter = newRun(std::numeric_limits<std::uint64_t>::max());
        CPPUNIT_ASSERT(splitter.feed(event(0)).empty());
        CPPUNIT_ASSERT(!splitter.rejection()->due);
    }

    void answerAfterARejectionGoesOnBehindTheLastEvent()
    {
        EventSplitter splitter = newRun();
        splitter.feed(event(1) + "garbage\n\nid: 2");
        splitter.beginAnswer(EventCheck::OfOneRun, 0);
        CPPUNIT_ASSERT(!splitter.rejection());
        CPPUNIT_ASSERT_EQUAL(event(2), splitter.feed(event(2)));
    }

    void answersThatAreNoRunAreNotChecked()
    {
        EventSplitter splitter;
        splitter.beginAnswer(EventCheck::None, 0);
        const std::string events = "data: a\n\ndata: b\n\n";
        CPPUNIT_ASSERT_EQUAL(events, splitter.feed(events + "data: c"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, splitter.eventCount());
    }

    /// Whatever is put between the events of several answers, and however their bytes arrive.
    void onlyAPrefixOfTheRunIsEverPassedOn()
    {
        CPPUNIT_ASSERT(rc::check("garbage anywhere", [] {
            constexpr std::uint64_t count = 8;
            std::string run;
            for (std::uint64_t id = 1; id <= count; ++id)
                run += event(id);
            EventSplitter splitter;
            std::string out;
            const auto answers = *rc::gen::inRange(1, 4);
            for (int n = 0; n < answers; ++n) {
                splitter.beginAnswer(EventCheck::OfOneRun, 0);
                const auto first = *rc::gen::inRange<std::uint64_t>(1, count + 1);
                std::string bytes;
                for (std::uint64_t id = first; id <= count; ++id)
                    bytes += *rc::gen::weightedElement<std::string>(
                                 {{6, ""}, {1, "x\n\n"}, {1, event(id)}, {1, "data: z\n\n"}})
                        + event(id);
                for (std::size_t at = 0; at < bytes.size() && !splitter.rejection();) {
                    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
                    out += splitter.feed(std::string_view(bytes).substr(at, size));
                    at += size;
                }
            }
            RC_ASSERT(run.starts_with(out));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTest);

} // namespace reachlead

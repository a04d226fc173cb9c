// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include <reachlead/routercore.h>
#include <xxhash.h>

namespace reachlead {

/// Drives RouterCore with events and a manual clock, and checks the actions that it returns.
class RouterCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterCoreTest);
    CPPUNIT_TEST(completeAnswerIsDelivered);
    CPPUNIT_TEST(corruptAnswerIsNotComplete);
    CPPUNIT_TEST(gapNeverReachesTheCaller);
    CPPUNIT_TEST(failedAnswerThatDiffersIsNotResumed);
    CPPUNIT_TEST(chunkWithoutTokensIsNotDelivered);
    CPPUNIT_TEST(chunkBeyondItsCreditIsNotCharged);
    CPPUNIT_TEST(chunkOfAPlainCallIsNotDelivered);
    CPPUNIT_TEST(refusalAfterTokensProvesNothing);
    CPPUNIT_TEST(refusalAfterTokensIsNotResumed);
    CPPUNIT_TEST(failureAfterTokensProvesNothing);
    CPPUNIT_TEST(neverReceivedAfterTokensProvesNothing);
    CPPUNIT_TEST(failureWithUnseenTokensProvesNothing);
    CPPUNIT_TEST(refusalWithoutAKindIsNoLoop);
    CPPUNIT_TEST(staleAttemptIsDropped);
    CPPUNIT_TEST(refusedAttemptIsRetried);
    CPPUNIT_TEST(lostUpstreamIsResumedAtTheToken);
    CPPUNIT_TEST(begunAnswerStaysAtItsVersion);
    CPPUNIT_TEST(answerMayMoveBeforeItsFirstToken);
    CPPUNIT_TEST(begunAnswerWaitsForRoomAtItsVersion);
    CPPUNIT_TEST(begunAnswerWithoutItsVersionEnds);
    CPPUNIT_TEST(notRepeatableIsNeverSentTwice);
    CPPUNIT_TEST(neverReceivedIsProof);
    CPPUNIT_TEST(restartedAgentCannotProve);
    CPPUNIT_TEST(unresponsiveAgentIsDropped);
    CPPUNIT_TEST(waitForAnAgentIsBounded);
    CPPUNIT_TEST(waitWithoutUpstreamIsBounded);
    CPPUNIT_TEST(brownOutIsNotMultiplied);
    CPPUNIT_TEST(predictedLateIsRefusedAtOnce);
    CPPUNIT_TEST(deadlineDropsLateRequests);
    CPPUNIT_TEST(nothingIsStartedTooLate);
    CPPUNIT_TEST(higherTierMayPreempt);
    CPPUNIT_TEST(disconnectCancelsAtTheAgent);
    CPPUNIT_TEST(requestsAreEndedWithAnAnswer);
    CPPUNIT_TEST(refusalsReportTheirKind);
    CPPUNIT_TEST(leavingAgentGetsNoRequests);
    CPPUNIT_TEST(outOfOrderLoadIsDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Incarnation routerIncarnation{5};

    Time m_now{seconds(100)};
    Counters m_counters;
    std::shared_ptr<Policies> m_policies;
    std::unique_ptr<RouterCore> m_core;
    std::vector<RouterAction> m_actions;
    std::uint64_t m_sequence = 0;

public:
    void setUp() override
    {
        m_policies = std::make_shared<Policies>();
        const auto add = [&](const char *name, std::uint8_t tier, LatePolicy late) {
            ClassPolicy cls;
            cls.name = ClassName(name);
            cls.tier = Tier{tier};
            cls.late = late;
            cls.deadline = seconds(10);
            m_policies->classes[cls.name] = cls;
        };
        add("live", 0, LatePolicy::Deliver);
        add("brief", 1, LatePolicy::Drop);
        // Most tests let time pass without sending heartbeats.
        RouterTuning tuning;
        tuning.heartbeatLimit = seconds(600);
        build(tuning);
    }

private:
    void build(RouterTuning tuning)
    {
        m_core =
            RouterCore::Builder().policies(m_policies).counters(&m_counters).tuning(tuning).build();
    }

    static Welcome welcome(const std::string &vm, std::uint32_t window = 4,
                           Incarnation incarnation = Incarnation{1})
    {
        Welcome message;
        message.vm = VmName(vm);
        message.target = modelTarget("m");
        message.incarnation = incarnation;
        message.load.window = window;
        return message;
    }

    void connect(const std::string &vm, std::uint32_t window = 4, Incarnation inc = Incarnation{1})
    {
        m_core->agentConnected(welcome(vm, window, inc), m_now);
        collect();
    }

    void collect() { m_actions = m_core->takeActions(); }

    RequestId submit(const std::string &cls = "live", bool repeatable = true)
    {
        CallerRequest request;
        request.id = {routerIncarnation, ++m_sequence};
        request.account = AccountName("acc");
        request.cls = ClassName(cls);
        request.target = modelTarget("m");
        request.repeatable = repeatable;
        const RequestId id = request.id;
        m_core->submitRequest(std::move(request), m_now);
        collect();
        return id;
    }

    void receive(const std::string &vm, const ToRouter &message)
    {
        m_core->agentMessage(VmName(vm), message, m_now);
        collect();
    }

    void advance(Duration length)
    {
        const Time until = m_now + length;
        std::vector<RouterAction> actions;
        while (m_now < until) {
            m_now += milliseconds(5);
            m_core->tick(m_now);
            collect();
            std::ranges::move(m_actions, std::back_inserter(actions));
        }
        m_actions = std::move(actions);
    }

    template <class Message> std::vector<std::pair<std::string, Message>> sent() const
    {
        std::vector<std::pair<std::string, Message>> found;
        for (const RouterAction &action : m_actions) {
            const auto *send = std::get_if<SendToAgent>(&action);
            if (const auto *message = send ? std::get_if<Message>(&send->message) : nullptr)
                found.emplace_back(send->agent.text, *message);
        }
        return found;
    }

    template <class Event> std::vector<Event> callerEvents() const
    {
        std::vector<Event> found;
        for (const RouterAction &action : m_actions) {
            const auto *send = std::get_if<SendToCaller>(&action);
            if (const auto *event = send ? std::get_if<Event>(&send->event) : nullptr)
                found.push_back(*event);
        }
        return found;
    }

    AnswerResult singleResult() const
    {
        const auto ends = callerEvents<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        return ends.front();
    }

    static AttemptResult makeResult(const RequestId &id, Attempt attempt, const std::string &text,
                                    std::uint64_t tokens)
    {
        AttemptResult end;
        end.id = id;
        end.attempt = attempt;
        end.tokens = tokens;
        end.hash = XXH64(text.data(), text.size(), 0);
        return end;
    }

    static AttemptResult makeFailure(const RequestId &id, Attempt attempt, ErrorKind kind,
                                     Outcome outcome, const std::string &text = "",
                                     std::uint64_t tokens = 0)
    {
        AttemptResult end = makeResult(id, attempt, text, tokens);
        end.kind = kind;
        end.outcome = outcome;
        return end;
    }

    void completeAnswerIsDelivered()
    {
        connect("a");
        const RequestId id = submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        receive("a", Started{id, 1});
        receive("a", Chunk{id, 1, 0, 2, "x y"});
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), callerEvents<AnswerText>().at(0).text);
        receive("a", makeResult(id, 1, "x y", 2));
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_core->openRequests());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.value(Counter::TokensDelivered));
    }

    void corruptAnswerIsNotComplete()
    {
        using Claim = std::pair<std::string, std::uint64_t>;
        for (const auto &[text, tokens] : {Claim("x z", 2), Claim("x y", 3), Claim("x y", 1)}) {
            setUp();
            connect("a");
            const RequestId id = submit();
            receive("a", Chunk{id, 1, 0, 2, "x y"});
            receive("a", makeResult(id, 1, text, tokens));
            CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AnswerCorrupt);
            CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        }
    }

    void gapNeverReachesTheCaller()
    {
        connect("a");
        const RequestId id = submit();
        receive("a", Chunk{id, 1, 0, 1, "x"});
        receive("a", Chunk{id, 1, 0, 1, "x"}); // duplicate: dropped
        CPPUNIT_ASSERT(callerEvents<AnswerText>().empty());
        receive("a", Chunk{id, 1, 3, 1, "z"}); // gap
        CPPUNIT_ASSERT(callerEvents<AnswerText>().empty());
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AnswerCorrupt);
    }

    /// Text that was lost or changed on the way would be in the middle of the resumed answer.
    void failedAnswerThatDiffersIsNotResumed()
    {
        for (const ErrorKind kind : {ErrorKind::UpstreamLost, ErrorKind::Preempted}) {
            setUp();
            connect("a");
            const RequestId id = submit();
            receive("a", Chunk{id, 1, 0, 2, "x y"});
            const std::uint64_t tokens = kind == ErrorKind::Preempted ? 2 : 3;
            receive("a", makeFailure(id, 1, kind, Outcome::Ran, "x z", tokens));
            CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AnswerCorrupt);
            CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
            advance(seconds(1));
            CPPUNIT_ASSERT(sent<Dispatch>().empty());
        }
    }

    void checkCorrupt(const Chunk &chunk)
    {
        receive("a", chunk);
        CPPUNIT_ASSERT(callerEvents<AnswerText>().empty());
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AnswerCorrupt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Cancel>().size());
    }

    void chunkWithoutTokensIsNotDelivered()
    {
        connect("a");
        const RequestId id = submit();
        checkCorrupt(Chunk{id, 1, 0, 0, "uncounted"});
    }

    void chunkBeyondItsCreditIsNotCharged()
    {
        const std::uint64_t credit = RouterTuning().creditTokens;
        for (const std::uint64_t count : {credit + 1, std::numeric_limits<std::uint64_t>::max()}) {
            setUp();
            connect("a");
            const RequestId id = submit();
            checkCorrupt(Chunk{id, 1, 0, count, "x"});
        }
        setUp();
        connect("a");
        const RequestId id = submit();
        receive("a", Chunk{id, 1, 0, credit, "x"});
        m_core->callerConsumed(id, 2);
        receive("a", Chunk{id, 1, credit, 2, "y"});
        CPPUNIT_ASSERT_EQUAL(std::string("y"), callerEvents<AnswerText>().at(0).text);
        checkCorrupt(Chunk{id, 1, credit + 2, 1, "z"});
    }

    void chunkOfAPlainCallIsNotDelivered()
    {
        connect("a");
        CallerRequest request;
        request.id = {routerIncarnation, ++m_sequence};
        request.account = AccountName("acc");
        request.cls = ClassName("live");
        request.target = modelTarget("m");
        request.isModel = false;
        const RequestId id = request.id;
        m_core->submitRequest(std::move(request), m_now);
        collect();
        checkCorrupt(Chunk{id, 1, 0, 1, "x"});
    }

    /// A call that must not be repeated would run twice.
    void refusalAfterTokensProvesNothing()
    {
        connect("a");
        connect("b");
        const RequestId id = submit("live", false);
        const std::string agent = sent<Dispatch>().at(0).first;
        receive(agent, Chunk{id, 1, 0, 1, "x"});
        receive(agent, Refused{id, 1, ErrorKind::AgentBusy, ""});
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    /// The agent does not say whether the tokens received are all that the run made.
    void refusalAfterTokensIsNotResumed()
    {
        connect("a");
        connect("b");
        const RequestId id = submit();
        const std::string agent = sent<Dispatch>().at(0).first;
        receive(agent, Chunk{id, 1, 0, 2, "x y"});
        receive(agent, Refused{id, 1, ErrorKind::AgentBusy, ""});
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AnswerCorrupt);
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.value(Counter::HostileFrames));
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void neverReceivedAfterTokensProvesNothing()
    {
        connect("a");
        const RequestId id = submit("live", false);
        receive("a", Chunk{id, 1, 0, 1, "x"});
        m_core->agentDisconnected(VmName("a"), m_now);
        m_core->agentConnected(welcome("a"), m_now);
        collect();
        receive("a", AttemptQueryReply{id, 1, AttemptState::NeverReceived});
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    /// The agent may have counted tokens that were lost on the way.
    void failureWithUnseenTokensProvesNothing()
    {
        connect("a");
        connect("b");
        const RequestId id = submit("live", false);
        const std::string agent = sent<Dispatch>().at(0).first;
        receive(agent, makeFailure(id, 1, ErrorKind::UpstreamLost, Outcome::NotRun, "x", 1));
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void failureAfterTokensProvesNothing()
    {
        connect("a");
        connect("b");
        const RequestId id = submit("live", false);
        const std::string agent = sent<Dispatch>().at(0).first;
        receive(agent, Chunk{id, 1, 0, 1, "x"});
        receive(agent, makeFailure(id, 1, ErrorKind::UpstreamLost, Outcome::NotRun, "x", 1));
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    /// Without a kind it would count as a reason for a retry that costs nothing, without an end.
    void refusalWithoutAKindIsNoLoop()
    {
        connect("a");
        const RequestId id = submit();
        Attempt attempt = 1;
        while (attempt < 100) {
            receive("a", Refused{id, attempt, ErrorKind::None, ""});
            if (callerEvents<AnswerResult>().empty())
                advance(seconds(2));
            if (!callerEvents<AnswerResult>().empty())
                break;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
            attempt = sent<Dispatch>().at(0).second.attempt;
        }
        CPPUNIT_ASSERT(singleResult().kind != ErrorKind::None);
        CPPUNIT_ASSERT(attempt <= RouterTuning().maxDispatchAttempts);
    }

    void staleAttemptIsDropped()
    {
        connect("a");
        const RequestId id = submit();
        receive("a", Refused{id, 1, ErrorKind::AgentBusy, ""});
        receive("a", LoadReport{welcome("a").load});
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(Attempt{2}, sent<Dispatch>().at(0).second.attempt);
        receive("a", Chunk{id, 1, 0, 1, "stale"});
        CPPUNIT_ASSERT(callerEvents<AnswerText>().empty());
        receive("a", makeResult(id, 1, "stale", 1));
        CPPUNIT_ASSERT(callerEvents<AnswerResult>().empty());
        CPPUNIT_ASSERT(m_counters.value(Counter::StaleFrames) >= 2);
        receive("a", Chunk{id, 2, 0, 1, "good"});
        CPPUNIT_ASSERT_EQUAL(std::string("good"), callerEvents<AnswerText>().at(0).text);
    }

    void refusedAttemptIsRetried()
    {
        connect("a", 1);
        connect("b", 1);
        const RequestId id = submit("live", false);
        const std::string first = sent<Dispatch>().at(0).first;
        receive(first, Refused{id, 1, ErrorKind::AgentLeaving, ""});
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        CPPUNIT_ASSERT(sent<Dispatch>().at(0).first != first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.retriedCount(ErrorKind::AgentLeaving));
    }

    void lostUpstreamIsResumedAtTheToken()
    {
        connect("a");
        connect("b");
        const RequestId id = submit();
        const std::string first = sent<Dispatch>().at(0).first;
        receive(first, Chunk{id, 1, 0, 2, "x y"});
        receive(first, makeFailure(id, 1, ErrorKind::UpstreamLost, Outcome::Ran, "x y", 2));
        advance(seconds(1));
        const Dispatch again = sent<Dispatch>().at(0).second;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.resumeFrom);
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), again.resumeText);
        const std::string second = sent<Dispatch>().at(0).first;
        receive(second, Chunk{id, 2, 2, 1, " z"});
        receive(second, makeResult(id, 2, " z", 1));
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, singleResult().tokens);
    }

    void connectVersion(const std::string &vm, const std::string &version, std::uint32_t window = 4)
    {
        Welcome message = welcome(vm, window);
        message.softwareVersion = SoftwareVersion(version);
        m_core->agentConnected(message, m_now);
        collect();
    }

    /// Begins an answer at agent `a`, whose upstream has version v1, and loses the upstream.
    RequestId beginAndLose(std::uint64_t tokens)
    {
        connectVersion("a", "v1");
        const RequestId id = submit();
        if (tokens > 0)
            receive("a", Chunk{id, 1, 0, tokens, "x"});
        m_core->setAgentLeaving(VmName("a"), true, m_now);
        receive("a",
                makeFailure(id, 1, ErrorKind::UpstreamLost, Outcome::Ran, tokens > 0 ? "x" : "",
                            tokens));
        return id;
    }

    void begunAnswerStaysAtItsVersion()
    {
        beginAndLose(2);
        for (const char *other : {"b", "c", "d"})
            connectVersion(other, "v2");
        connectVersion("e", "v1");
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("e"), sent<Dispatch>().at(0).first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent<Dispatch>().at(0).second.resumeFrom);
    }

    void answerMayMoveBeforeItsFirstToken()
    {
        beginAndLose(0);
        connectVersion("b", "v2");
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), sent<Dispatch>().at(0).first);
    }

    void begunAnswerWaitsForRoomAtItsVersion()
    {
        connectVersion("e", "v1", 1);
        const RequestId before = submit(); // takes the only place
        CPPUNIT_ASSERT_EQUAL(std::string("e"), sent<Dispatch>().at(0).first);
        beginAndLose(2);
        connectVersion("b", "v2");
        advance(milliseconds(500));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        receive("e", Chunk{before, 1, 0, 1, "y"});
        receive("e", makeResult(before, 1, "y", 1));
        advance(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), sent<Dispatch>().at(0).first);
    }

    void begunAnswerWithoutItsVersionEnds()
    {
        beginAndLose(2);
        connectVersion("b", "v2");
        advance(seconds(1));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::NoUpstreamOfVersion);
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Ran);
    }

    void notRepeatableIsNeverSentTwice()
    {
        connect("a");
        connect("b");
        const RequestId id = submit("live", false);
        const std::string agent = sent<Dispatch>().at(0).first;
        receive(agent, makeFailure(id, 1, ErrorKind::UpstreamLost, Outcome::Unknown));
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Unknown);
        advance(seconds(2));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void neverReceivedIsProof()
    {
        connect("a");
        const RequestId id = submit("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        collect();
        CPPUNIT_ASSERT(callerEvents<AnswerResult>().empty()); // outcome not known yet: no result
        m_core->agentConnected(welcome("a"), m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<AttemptQuery>().size());
        receive("a", AttemptQueryReply{id, 1, AttemptState::NeverReceived});
        advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(Attempt{2}, sent<Dispatch>().at(0).second.attempt);
    }

    void restartedAgentCannotProve()
    {
        connect("a");
        submit("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        m_core->agentConnected(welcome("a", 4, Incarnation{2}), m_now);
        collect();
        CPPUNIT_ASSERT(sent<AttemptQuery>().empty());
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::Unknown);
    }

    void unresponsiveAgentIsDropped()
    {
        build(RouterTuning());
        connect("a");
        advance(seconds(2));
        CPPUNIT_ASSERT(m_core->agents().at(0).up);
        m_core->heartbeat({protocolVersion, VmName("a"), Incarnation{1}, 1, welcome("a").load, ""},
                          m_now);
        advance(seconds(2));
        CPPUNIT_ASSERT(m_core->agents().at(0).up);
        advance(seconds(2));
        CPPUNIT_ASSERT(!m_core->agents().at(0).up);
        const auto drops = std::ranges::count_if(m_actions, [](const RouterAction &action) {
            return std::holds_alternative<DropSession>(action);
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(drops));
    }

    void waitForAnAgentIsBounded()
    {
        connect("a");
        submit("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        advance(RouterTuning().recoveryWait + milliseconds(10));
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::OutcomeUnknown);
    }

    void waitWithoutUpstreamIsBounded()
    {
        connect("a", 1);
        submit();
        const RequestId waiting = submit();
        m_core->agentDisconnected(VmName("a"), m_now);
        advance(RouterTuning().upstreamWait + milliseconds(50));
        const auto ends = callerEvents<AnswerResult>();
        CPPUNIT_ASSERT(!ends.empty());
        CPPUNIT_ASSERT(ends.front().kind == ErrorKind::NoUpstream);
        CPPUNIT_ASSERT(ends.front().outcome == Outcome::NotRun);
        submit(); // refused at arrival from now on
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::NoUpstream);
        connect("a", 1);
        submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        (void)waiting;
    }

    /// Guards against retry amplification in a brown-out: every attempt fails, and the retries must
    /// stay a fraction of the first attempts.
    void brownOutIsNotMultiplied()
    {
        connect("a", 1000);
        unsigned dispatched = 0;
        for (unsigned n = 0; n < 400; ++n) {
            const RequestId id = submit();
            std::vector<RouterAction> actions = m_actions;
            for (unsigned round = 0; round < 40; ++round) {
                m_actions = std::exchange(actions, {});
                for (const auto &[agent, message] : sent<Dispatch>()) {
                    ++dispatched;
                    // AgentLost does not count as a failure of the upstream: an open circuit would
                    // hide the effect of the retry budget.
                    receive(agent, Refused{message.id, message.attempt, ErrorKind::AgentLost, ""});
                    std::ranges::move(m_actions, std::back_inserter(actions));
                }
                advance(milliseconds(5));
                std::ranges::move(m_actions, std::back_inserter(actions));
            }
            (void)id;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(dispatched), dispatched < 400 * 1.2);
        CPPUNIT_ASSERT(m_counters.refusedCount(ErrorKind::RetryBudgetSpent) > 100);
    }

    void predictedLateIsRefusedAtOnce()
    {
        connect("a", 1);
        const RequestId first = submit("brief");
        for (unsigned n = 0; n < 20; ++n)
            submit("brief");
        // Complete some requests half a second apart, so that the service rate is known.
        RequestId running = first;
        for (unsigned n = 0; n < 8; ++n) {
            advance(milliseconds(500));
            receive("a", makeResult(running, 1, "", 0));
            running = sent<Dispatch>().at(0).second.id;
        }
        submit("brief");
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::PredictedLate);
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::NotRun);
        submit("live"); // a class that delivers late is not refused
        CPPUNIT_ASSERT(callerEvents<AnswerResult>().empty());
    }

    void deadlineDropsLateRequests()
    {
        connect("a", 1);
        const RequestId running = submit("brief");
        receive("a", Chunk{running, 1, 0, 1, "x"});
        submit("brief");
        advance(seconds(11));
        const auto ends = callerEvents<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        CPPUNIT_ASSERT(ends[0].kind == ErrorKind::DeadlineRunning);
        CPPUNIT_ASSERT(ends[1].kind == ErrorKind::DeadlineQueued);
        CPPUNIT_ASSERT(ends[1].outcome == Outcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Cancel>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.value(Counter::TokensWasted));
    }

    /// Guards against starting requests that cannot meet their deadline: answers of 100 tokens at
    /// 80 ms take 8 s of a deadline of 10 s, so a request that was queued for 3 s cannot complete
    /// in time.
    void nothingIsStartedTooLate()
    {
        Welcome slow = welcome("a", 1);
        slow.load.tokenGapMicros = 80000;
        m_core->agentConnected(slow, m_now);
        const std::string text = "answer";
        for (unsigned n = 0; n < 20; ++n) {
            const RequestId id = submit("brief");
            receive("a", Chunk{id, 1, 0, 100, text});
            receive("a", makeResult(id, 1, text, 100));
        }
        const RequestId running = submit("brief");
        submit("brief");
        advance(seconds(3));
        receive("a", makeResult(running, 1, "", 0));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        const auto ends = callerEvents<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        CPPUNIT_ASSERT(ends[1].kind == ErrorKind::DeadlineQueued);
        CPPUNIT_ASSERT(ends[1].outcome == Outcome::NotRun);
    }

    void higherTierMayPreempt()
    {
        Welcome full = welcome("a", 2);
        full.load.running = 2;
        full.load.preemptible[1] = 1;
        m_core->agentConnected(full, m_now);
        collect();
        submit("brief"); // requests of the same tier are not preempted
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        submit("live");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        CPPUNIT_ASSERT(sent<Dispatch>().at(0).second.cls == ClassName("live"));
        submit("live"); // only one running request was preemptible
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void disconnectCancelsAtTheAgent()
    {
        connect("a");
        const RequestId id = submit();
        m_core->callerDisconnected(id, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Cancel>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_core->openRequests());
    }

    /// At the end of a planned stop each caller gets an answer, and only one whose request was
    /// never sent is told that it did not run.
    void requestsAreEndedWithAnAnswer()
    {
        connect("a", 2);
        const RequestId running = submit("brief");
        receive("a", Chunk{running, 1, 0, 1, "t"});
        const RequestId sentOnly = submit("brief");
        const RequestId queued = submit("brief");
        m_core->endRequests(m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_core->openRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent<Cancel>().size());
        std::map<RequestId, AnswerResult> ends;
        for (const RouterAction &action : m_actions) {
            if (const auto *send = std::get_if<SendToCaller>(&action))
                ends.emplace(send->id, std::get<AnswerResult>(send->event));
        }
        CPPUNIT_ASSERT(ends.at(running).outcome == Outcome::Ran);
        CPPUNIT_ASSERT(ends.at(sentOnly).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(ends.at(sentOnly).kind == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(ends.at(queued).outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(ends.at(queued).kind == ErrorKind::RouterStopping);
        submit("brief");
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::RouterStopping);
    }

    void refusalsReportTheirKind()
    {
        submit();
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::NoUpstream);
        connect("a");
        submit("nothing");
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::ClassUnknown);
        AccountPolicy account;
        account.name = AccountName("acc");
        account.limits.concurrency = 1;
        m_policies->accounts[account.name] = account;
        m_core->setPolicies(m_policies);
        submit();
        submit();
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::AccountConcurrency);
        m_core->stop();
        submit();
        CPPUNIT_ASSERT(singleResult().kind == ErrorKind::RouterStopping);
        CPPUNIT_ASSERT(singleResult().outcome == Outcome::NotRun);
    }

    void leavingAgentGetsNoRequests()
    {
        connect("a");
        m_core->setAgentLeaving(VmName("a"), true, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             sent<Leaving>().size()); // the agent is informed as well
        submit();
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        m_core->setAgentLeaving(VmName("a"), false, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
    }

    void outOfOrderLoadIsDropped()
    {
        connect("a");
        Load leaving = welcome("a").load;
        leaving.sequence = 7;
        leaving.leaving = true;
        receive("a", LoadReport{leaving});
        Load older = welcome("a").load;
        older.sequence = 6;
        m_core->heartbeat({protocolVersion, VmName("a"), Incarnation{1}, 9, older, ""}, m_now);
        CPPUNIT_ASSERT(m_core->agents().at(0).leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterCoreTest);

} // namespace reachlead

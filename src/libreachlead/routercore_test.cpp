// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/routercore.h>
#include <xxhash.h>

namespace reachlead {

/// The router's decisions, driven by hand.
class RouterCoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterCoreTest);
    CPPUNIT_TEST(wholeAnswerIsTold);
    CPPUNIT_TEST(corruptAnswerIsNotWhole);
    CPPUNIT_TEST(gapNeverReachesTheCaller);
    CPPUNIT_TEST(staleAttemptIsDropped);
    CPPUNIT_TEST(refusalIsPlacedAgain);
    CPPUNIT_TEST(lostUpstreamIsResumedAtTheToken);
    CPPUNIT_TEST(notRepeatableIsNeverSentTwice);
    CPPUNIT_TEST(neverSeenIsProof);
    CPPUNIT_TEST(restartedAgentCannotProve);
    CPPUNIT_TEST(silentAgentIsGivenUp);
    CPPUNIT_TEST(waitForAnAgentIsBounded);
    CPPUNIT_TEST(waitWithoutUpstreamIsBounded);
    CPPUNIT_TEST(brownOutIsNotMultiplied);
    CPPUNIT_TEST(predictedLateIsRefusedAtOnce);
    CPPUNIT_TEST(deadlineDropsWhatIsWorthless);
    CPPUNIT_TEST(nothingIsStartedTooLate);
    CPPUNIT_TEST(higherTierMayTakeAPlace);
    CPPUNIT_TEST(hangUpCancelsAtTheAgent);
    CPPUNIT_TEST(refusalsNameTheirReason);
    CPPUNIT_TEST(leavingAgentGetsNothing);
    CPPUNIT_TEST(overtakenLoadIsDropped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Incarnation life{5};

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

    void up(const std::string &vm, std::uint32_t window = 4, Incarnation inc = Incarnation{1})
    {
        m_core->agentConnected(welcome(vm, window, inc), m_now);
        collect();
    }

    void collect() { m_actions = m_core->takeActions(); }

    RequestId ask(const std::string &cls = "live", bool repeatable = true)
    {
        CallerRequest request;
        request.id = {life, ++m_sequence};
        request.account = AccountName("acc");
        request.cls = ClassName(cls);
        request.target = modelTarget("m");
        request.repeatable = repeatable;
        const RequestId id = request.id;
        m_core->submitRequest(std::move(request), m_now);
        collect();
        return id;
    }

    void hear(const std::string &vm, const ToRouter &message)
    {
        m_core->agentMessage(VmName(vm), message, m_now);
        collect();
    }

    void pass(Duration length)
    {
        const Time until = m_now + length;
        std::vector<RouterAction> all;
        while (m_now < until) {
            m_now += milliseconds(5);
            m_core->tick(m_now);
            collect();
            std::ranges::move(m_actions, std::back_inserter(all));
        }
        m_actions = std::move(all);
    }

    template <class Message> std::vector<std::pair<std::string, Message>> sent() const
    {
        std::vector<std::pair<std::string, Message>> list;
        for (const RouterAction &action : m_actions) {
            const auto *send = std::get_if<SendToAgent>(&action);
            if (const auto *message = send ? std::get_if<Message>(&send->message) : nullptr)
                list.emplace_back(send->agent.text, *message);
        }
        return list;
    }

    template <class Event> std::vector<Event> told() const
    {
        std::vector<Event> list;
        for (const RouterAction &action : m_actions) {
            const auto *tell = std::get_if<SendToCaller>(&action);
            if (const auto *event = tell ? std::get_if<Event>(&tell->event) : nullptr)
                list.push_back(*event);
        }
        return list;
    }

    AnswerResult onlyEnd() const
    {
        const auto ends = told<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        return ends.front();
    }

    static AttemptResult endOf(const RequestId &id, Attempt attempt, const std::string &text,
                               std::uint64_t tokens)
    {
        AttemptResult end;
        end.id = id;
        end.attempt = attempt;
        end.tokens = tokens;
        end.hash = XXH64(text.data(), text.size(), 0);
        return end;
    }

    static AttemptResult failure(const RequestId &id, Attempt attempt, ErrorKind kind,
                                 Outcome outcome)
    {
        AttemptResult end = endOf(id, attempt, "", 0);
        end.kind = kind;
        end.outcome = outcome;
        return end;
    }

    void wholeAnswerIsTold()
    {
        up("a");
        const RequestId id = ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        hear("a", Started{id, 1});
        hear("a", Chunk{id, 1, 0, 2, "x y"});
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), told<AnswerText>().at(0).text);
        hear("a", endOf(id, 1, "x y", 2));
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_core->openRequests());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.value(Counter::TokensDelivered));
    }

    void corruptAnswerIsNotWhole()
    {
        up("a");
        const RequestId id = ask();
        hear("a", Chunk{id, 1, 0, 2, "x y"});
        hear("a", endOf(id, 1, "x z", 2));
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::AnswerCorrupt);
        CPPUNIT_ASSERT(onlyEnd().outcome == Outcome::Ran);
    }

    void gapNeverReachesTheCaller()
    {
        up("a");
        const RequestId id = ask();
        hear("a", Chunk{id, 1, 0, 1, "x"});
        hear("a", Chunk{id, 1, 0, 1, "x"}); // again: dropped
        CPPUNIT_ASSERT(told<AnswerText>().empty());
        hear("a", Chunk{id, 1, 3, 1, "z"}); // a hole
        CPPUNIT_ASSERT(told<AnswerText>().empty());
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::AnswerCorrupt);
    }

    void staleAttemptIsDropped()
    {
        up("a");
        const RequestId id = ask();
        hear("a", Refused{id, 1, ErrorKind::AgentBusy, ""});
        hear("a", LoadReport{welcome("a").load});
        pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(Attempt{2}, sent<Dispatch>().at(0).second.attempt);
        hear("a", Chunk{id, 1, 0, 1, "stale"});
        CPPUNIT_ASSERT(told<AnswerText>().empty());
        hear("a", endOf(id, 1, "stale", 1));
        CPPUNIT_ASSERT(told<AnswerResult>().empty());
        CPPUNIT_ASSERT(m_counters.value(Counter::StaleFrames) >= 2);
        hear("a", Chunk{id, 2, 0, 1, "good"});
        CPPUNIT_ASSERT_EQUAL(std::string("good"), told<AnswerText>().at(0).text);
    }

    void refusalIsPlacedAgain()
    {
        up("a", 1);
        up("b", 1);
        const RequestId id = ask("live", false);
        const std::string first = sent<Dispatch>().at(0).first;
        hear(first, Refused{id, 1, ErrorKind::AgentLeaving, ""});
        pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        CPPUNIT_ASSERT(sent<Dispatch>().at(0).first != first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.retriedCount(ErrorKind::AgentLeaving));
    }

    void lostUpstreamIsResumedAtTheToken()
    {
        up("a");
        up("b");
        const RequestId id = ask();
        const std::string first = sent<Dispatch>().at(0).first;
        hear(first, Chunk{id, 1, 0, 2, "x y"});
        hear(first, failure(id, 1, ErrorKind::UpstreamLost, Outcome::Ran));
        pass(seconds(1));
        const Dispatch again = sent<Dispatch>().at(0).second;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.resumeFrom);
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), again.resumeText);
        const std::string second = sent<Dispatch>().at(0).first;
        hear(second, Chunk{id, 2, 2, 1, " z"});
        hear(second, endOf(id, 2, " z", 1));
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, onlyEnd().tokens);
    }

    void notRepeatableIsNeverSentTwice()
    {
        up("a");
        up("b");
        const RequestId id = ask("live", false);
        const std::string agent = sent<Dispatch>().at(0).first;
        hear(agent, failure(id, 1, ErrorKind::UpstreamLost, Outcome::Unknown));
        CPPUNIT_ASSERT(onlyEnd().outcome == Outcome::Unknown);
        pass(seconds(2));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void neverSeenIsProof()
    {
        up("a");
        const RequestId id = ask("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        collect();
        CPPUNIT_ASSERT(told<AnswerResult>().empty()); // in doubt: nothing is told yet
        m_core->agentConnected(welcome("a"), m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<AttemptQuery>().size());
        hear("a", AttemptQueryReply{id, 1, AttemptState::NeverReceived});
        pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(Attempt{2}, sent<Dispatch>().at(0).second.attempt);
    }

    void restartedAgentCannotProve()
    {
        up("a");
        ask("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        m_core->agentConnected(welcome("a", 4, Incarnation{2}), m_now);
        collect();
        CPPUNIT_ASSERT(sent<AttemptQuery>().empty());
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(onlyEnd().outcome == Outcome::Unknown);
    }

    void silentAgentIsGivenUp()
    {
        build(RouterTuning());
        up("a");
        pass(seconds(2));
        CPPUNIT_ASSERT(m_core->agents().at(0).up);
        m_core->heartbeat({protocolVersion, VmName("a"), Incarnation{1}, 1, welcome("a").load, ""},
                          m_now);
        pass(seconds(2));
        CPPUNIT_ASSERT(m_core->agents().at(0).up);
        pass(seconds(2));
        CPPUNIT_ASSERT(!m_core->agents().at(0).up);
        const auto drops = std::ranges::count_if(m_actions, [](const RouterAction &action) {
            return std::holds_alternative<DropSession>(action);
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(drops));
    }

    void waitForAnAgentIsBounded()
    {
        up("a");
        ask("live", false);
        m_core->agentDisconnected(VmName("a"), m_now);
        pass(RouterTuning().recoveryWait + milliseconds(10));
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::OutcomeUnknown);
    }

    void waitWithoutUpstreamIsBounded()
    {
        up("a", 1);
        ask();
        const RequestId waiting = ask();
        m_core->agentDisconnected(VmName("a"), m_now);
        pass(RouterTuning().upstreamWait + milliseconds(50));
        const auto ends = told<AnswerResult>();
        CPPUNIT_ASSERT(!ends.empty());
        CPPUNIT_ASSERT(ends.front().kind == ErrorKind::NoUpstream);
        CPPUNIT_ASSERT(ends.front().outcome == Outcome::NotRun);
        ask(); // refused at arrival from now on
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::NoUpstream);
        up("a", 1);
        ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        (void)waiting;
    }

    /// Every attempt fails: the retries stay a fraction of the first tries.
    void brownOutIsNotMultiplied()
    {
        up("a", 1000);
        unsigned dispatched = 0;
        for (unsigned n = 0; n < 400; ++n) {
            const RequestId id = ask();
            std::vector<RouterAction> all = m_actions;
            for (unsigned round = 0; round < 40; ++round) {
                m_actions = std::exchange(all, {});
                for (const auto &[agent, message] : sent<Dispatch>()) {
                    ++dispatched;
                    // A stale circuit would hide the budget: keep it closed.
                    hear(agent, Refused{message.id, message.attempt, ErrorKind::AgentLost, ""});
                    std::ranges::move(m_actions, std::back_inserter(all));
                }
                pass(milliseconds(5));
                std::ranges::move(m_actions, std::back_inserter(all));
            }
            (void)id;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(dispatched), dispatched < 400 * 1.2);
        CPPUNIT_ASSERT(m_counters.refusedCount(ErrorKind::RetryBudgetSpent) > 100);
    }

    void predictedLateIsRefusedAtOnce()
    {
        up("a", 1);
        const RequestId first = ask("brief");
        for (unsigned n = 0; n < 20; ++n)
            ask("brief");
        // Serve some, each half a second after the other, so that the rate is known.
        RequestId running = first;
        for (unsigned n = 0; n < 8; ++n) {
            pass(milliseconds(500));
            hear("a", endOf(running, 1, "", 0));
            running = sent<Dispatch>().at(0).second.id;
        }
        ask("brief");
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::PredictedLate);
        CPPUNIT_ASSERT(onlyEnd().outcome == Outcome::NotRun);
        ask("live"); // a class that delivers late is not refused
        CPPUNIT_ASSERT(told<AnswerResult>().empty());
    }

    void deadlineDropsWhatIsWorthless()
    {
        up("a", 1);
        const RequestId running = ask("brief");
        hear("a", Chunk{running, 1, 0, 1, "x"});
        ask("brief");
        pass(seconds(11));
        const auto ends = told<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        CPPUNIT_ASSERT(ends[0].kind == ErrorKind::DeadlineRunning);
        CPPUNIT_ASSERT(ends[1].kind == ErrorKind::DeadlineQueued);
        CPPUNIT_ASSERT(ends[1].outcome == Outcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Cancel>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.value(Counter::TokensWasted));
    }

    /// Answers of 100 tokens at 80 ms take 8 of their 10 s: one that waited for 3 s cannot be
    /// whole.
    void nothingIsStartedTooLate()
    {
        Welcome slow = welcome("a", 1);
        slow.load.tokenGapMicros = 80000;
        m_core->agentConnected(slow, m_now);
        const std::string text = "answer";
        for (unsigned n = 0; n < 20; ++n) {
            const RequestId id = ask("brief");
            hear("a", Chunk{id, 1, 0, 100, text});
            hear("a", endOf(id, 1, text, 100));
        }
        const RequestId running = ask("brief");
        ask("brief");
        pass(seconds(3));
        hear("a", endOf(running, 1, "", 0));
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        const auto ends = told<AnswerResult>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        CPPUNIT_ASSERT(ends[1].kind == ErrorKind::DeadlineQueued);
        CPPUNIT_ASSERT(ends[1].outcome == Outcome::NotRun);
    }

    void higherTierMayTakeAPlace()
    {
        Welcome full = welcome("a", 2);
        full.load.running = 2;
        full.load.preemptible[1] = 1;
        m_core->agentConnected(full, m_now);
        collect();
        ask("brief"); // the same tier takes nobody's place
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        ask("live");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
        CPPUNIT_ASSERT(sent<Dispatch>().at(0).second.cls == ClassName("live"));
        ask("live"); // there was one place to take
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
    }

    void hangUpCancelsAtTheAgent()
    {
        up("a");
        const RequestId id = ask();
        m_core->callerDisconnected(id, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Cancel>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_core->openRequests());
    }

    void refusalsNameTheirReason()
    {
        ask();
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::NoUpstream);
        up("a");
        ask("nothing");
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::ClassUnknown);
        AccountPolicy account;
        account.name = AccountName("acc");
        account.limits.concurrency = 1;
        m_policies->accounts[account.name] = account;
        m_core->setPolicies(m_policies);
        ask();
        ask();
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::AccountConcurrency);
        m_core->stop();
        ask();
        CPPUNIT_ASSERT(onlyEnd().kind == ErrorKind::RouterStopping);
        CPPUNIT_ASSERT(onlyEnd().outcome == Outcome::NotRun);
    }

    void leavingAgentGetsNothing()
    {
        up("a");
        m_core->setAgentLeaving(VmName("a"), true, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Leaving>().size()); // the agent is told too
        ask();
        CPPUNIT_ASSERT(sent<Dispatch>().empty());
        m_core->setAgentLeaving(VmName("a"), false, m_now);
        collect();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<Dispatch>().size());
    }

    void overtakenLoadIsDropped()
    {
        up("a");
        Load leaving = welcome("a").load;
        leaving.sequence = 7;
        leaving.leaving = true;
        hear("a", LoadReport{leaving});
        Load older = welcome("a").load;
        older.sequence = 6;
        m_core->heartbeat({protocolVersion, VmName("a"), Incarnation{1}, 9, older, ""}, m_now);
        CPPUNIT_ASSERT(m_core->agents().at(0).leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterCoreTest);

} // namespace reachlead

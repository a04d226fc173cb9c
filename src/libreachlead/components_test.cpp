// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/accountlimiter.h>
#include <reachlead/admission.h>
#include <reachlead/apikey.h>
#include <reachlead/circuit.h>
#include <reachlead/lengthestimate.h>
#include <reachlead/placement/placement.h>
#include <reachlead/requestlifecycle.h>
#include <reachlead/retrybudget.h>

namespace reachlead {

/// Tests of small components: circuit, request lifecycle, admission window, limits and placement.
class ComponentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ComponentsTest);
    CPPUNIT_TEST(circuitOpensProbesAndCloses);
    CPPUNIT_TEST(lifecycleAllowsOnlyValidTransitions);
    CPPUNIT_TEST(windowFollowsTokenGap);
    CPPUNIT_TEST(childrenShareTheirParentsLimit);
    CPPUNIT_TEST(sharesNeverExceedTheLimit);
    CPPUNIT_TEST(tokensAboveTheRateBecomeDebt);
    CPPUNIT_TEST(placementPrefersNearFastAndIdle);
    CPPUNIT_TEST(prefixNeverOutweighsLoad);
    CPPUNIT_TEST(lengthFollowsItsQuantile);
    CPPUNIT_TEST(budgetBoundsRetries);
    CPPUNIT_TEST(apiKeysAreChecked);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    void circuitOpensProbesAndCloses()
    {
        Circuit circuit;
        for (unsigned n = 0; n < Circuit::failuresToOpen; ++n) {
            CPPUNIT_ASSERT(circuit.allows(start));
            circuit.failed(start);
        }
        CPPUNIT_ASSERT(!circuit.allows(start));
        const Time later = start + Circuit::initialOpenDuration;
        CPPUNIT_ASSERT(circuit.allows(later));
        circuit.sent();
        CPPUNIT_ASSERT(!circuit.allows(later)); // one probe at a time
        circuit.failed(later);
        CPPUNIT_ASSERT(!circuit.allows(later + Circuit::initialOpenDuration)); // it has doubled
        CPPUNIT_ASSERT(circuit.allows(later + 2 * Circuit::initialOpenDuration));
        circuit.sent();
        circuit.abandoned(); // the probe's caller disconnected: another probe is allowed
        CPPUNIT_ASSERT(circuit.allows(later + 2 * Circuit::initialOpenDuration));
        circuit.sent();
        circuit.succeeded();
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), std::string(circuit.state()));
    }

    void lifecycleAllowsOnlyValidTransitions()
    {
        RequestLifecycle lifecycle;
        CPPUNIT_ASSERT(lifecycle.state() == RequestState::Queued);
        CPPUNIT_ASSERT(!lifecycle.apply(RequestEvent::ExecutionStarted));
        CPPUNIT_ASSERT(lifecycle.apply(RequestEvent::Assigned));
        CPPUNIT_ASSERT(lifecycle.state() == RequestState::Sent);
        CPPUNIT_ASSERT(lifecycle.apply(RequestEvent::ExecutionStarted));
        CPPUNIT_ASSERT(lifecycle.state() == RequestState::Running);
        CPPUNIT_ASSERT(lifecycle.apply(RequestEvent::SessionLost));
        CPPUNIT_ASSERT(lifecycle.state() == RequestState::Recovering);
        CPPUNIT_ASSERT(lifecycle.apply(RequestEvent::Recovered));
        CPPUNIT_ASSERT(lifecycle.apply(RequestEvent::Finished));
        CPPUNIT_ASSERT(lifecycle.state() == RequestState::Ended);
        CPPUNIT_ASSERT(!lifecycle.apply(RequestEvent::Requeued));
        CPPUNIT_ASSERT(!lifecycle.apply(RequestEvent::Finished)); // a request finishes only once
    }

    void windowFollowsTokenGap()
    {
        AdmissionWindow window({1, 64, 8});
        const Duration target = milliseconds(80);
        Time now = start;
        const auto simulate = [&](Duration gap, unsigned rounds) {
            for (unsigned n = 0; n < rounds; ++n) {
                now += AdmissionWindow::adjustInterval + gap;
                for (unsigned k = 0; k < 100; ++k)
                    window.observe(gap, now);
                window.adjust(now, window.size(), target);
            }
        };
        simulate(milliseconds(40), 3);
        const std::uint32_t grown = window.size();
        CPPUNIT_ASSERT(grown > 16 && grown < 40); // fast growth far from the target
        simulate(milliseconds(72), 3);
        CPPUNIT_ASSERT_EQUAL(grown + 3, window.size()); // growth by one near the target
        simulate(milliseconds(76), 10);
        CPPUNIT_ASSERT_EQUAL(grown + 3, window.size()); // no growth at the target
        simulate(milliseconds(120), 3);
        CPPUNIT_ASSERT(window.size() < grown * 3 / 4);
        simulate(milliseconds(500), 100);
        CPPUNIT_ASSERT_EQUAL(1U, window.size());
    }

    static std::shared_ptr<Policies> parentWithTwoChildren()
    {
        auto policies = std::make_shared<Policies>();
        for (const char *name : {"parent", "one", "two"}) {
            AccountPolicy account;
            account.name = AccountName(name);
            if (account.name.text != "parent")
                account.parent = AccountName("parent");
            policies->accounts[account.name] = account;
        }
        return policies;
    }

    void childrenShareTheirParentsLimit()
    {
        auto policies = parentWithTwoChildren();
        policies->accounts[AccountName("parent")].limits.concurrency = 3;
        AccountLimiter limiter(policies);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("one"), start) == ErrorKind::None);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("one"), start) == ErrorKind::None);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("two"), start) == ErrorKind::None);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("two"), start) == ErrorKind::AccountConcurrency);
        limiter.release(AccountName("one"));
        CPPUNIT_ASSERT(limiter.acquire(AccountName("two"), start) == ErrorKind::None);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, limiter.inProgress(AccountName("parent")));
    }

    void sharesNeverExceedTheLimit()
    {
        auto policies = parentWithTwoChildren();
        policies->accounts[AccountName("one")].limits.concurrency = 10;
        std::size_t taken = 0;
        for (unsigned router = 0; router < 3; ++router) {
            AccountLimiter limiter(policies);
            limiter.setLimitShare(1.0 / 3);
            while (limiter.acquire(AccountName("one"), start) == ErrorKind::None)
                ++taken;
        }
        CPPUNIT_ASSERT(taken <= 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, taken);
    }

    void tokensAboveTheRateBecomeDebt()
    {
        auto policies = parentWithTwoChildren();
        policies->accounts[AccountName("one")].limits.tokensPerSecond = 100;
        AccountLimiter limiter(policies);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("one"), start) == ErrorKind::None);
        limiter.chargeTokens(AccountName("one"), 400, start); // two seconds' allowance and two more
        CPPUNIT_ASSERT(limiter.acquire(AccountName("one"), start + seconds(1))
                       == ErrorKind::AccountRate);
        CPPUNIT_ASSERT(limiter.acquire(AccountName("one"), start + seconds(3)) == ErrorKind::None);
    }

    void placementPrefersNearFastAndIdle()
    {
        Random random(7);
        const auto placement = makePlacement(PlacementRule::TwoChoices);
        std::vector<Candidate> candidates(3);
        candidates[0] = {VmName("far"), false, 8, 0, 1.0, 0};
        candidates[1] = {VmName("busy"), true, 8, 7, 1.0, 0};
        candidates[2] = {VmName("idle"), true, 8, 0, 1.0, 0};
        std::map<std::size_t, unsigned> selections;
        for (unsigned n = 0; n < 400; ++n)
            ++selections[*placement->select(candidates, random)];
        CPPUNIT_ASSERT_EQUAL(0U, selections[0]); // another zone only if the local one is full
        CPPUNIT_ASSERT(selections[2] > 2 * selections[1]);
        candidates.resize(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *placement->select(candidates, random));
        CPPUNIT_ASSERT(!placement->select({}, random));
        const Candidate slow{VmName("slow"), true, 8, 0, 10.0, 0};
        CPPUNIT_ASSERT(placementCost(slow) > placementCost(candidates[0]));
    }

    void prefixNeverOutweighsLoad()
    {
        const Candidate cached{VmName("a"), true, 8, 4, 1.0, 1.0};
        const Candidate idle{VmName("b"), true, 8, 1, 1.0, 0.0};
        const Candidate same{VmName("c"), true, 8, 4, 1.0, 0.0};
        CPPUNIT_ASSERT(placementCost(idle) < placementCost(cached));
        CPPUNIT_ASSERT(placementCost(cached) < placementCost(same));
    }

    void lengthFollowsItsQuantile()
    {
        LengthEstimate estimate(0.7);
        Random random(3);
        std::uniform_real_distribution<double> spread(0, 1000);
        for (unsigned n = 0; n < 2000; ++n)
            estimate.learn(spread(random));
        CPPUNIT_ASSERT(estimate.value() > 500 && estimate.value() < 900);
    }

    void budgetBoundsRetries()
    {
        RetryBudget budget;
        unsigned taken = 0;
        while (budget.take())
            ++taken;
        CPPUNIT_ASSERT_EQUAL(10U, taken);
        for (unsigned n = 0; n < 100; ++n)
            budget.recordFirstAttempt();
        CPPUNIT_ASSERT(budget.take());
        CPPUNIT_ASSERT(maxRetryBackoff(1) == Duration(milliseconds(20)));
        CPPUNIT_ASSERT(maxRetryBackoff(100) == Duration(milliseconds(1280)));
    }

    void apiKeysAreChecked()
    {
        auto policies = parentWithTwoChildren();
        AccountPolicy &one = policies->accounts[AccountName("one")];
        one.keySalt = "salt";
        one.keyHash = hashSecret("salt", "secret");
        CPPUNIT_ASSERT(findAccountByKey(*policies, "one:secret") == &one);
        CPPUNIT_ASSERT(!findAccountByKey(*policies, "one:other"));
        CPPUNIT_ASSERT(!findAccountByKey(*policies, "two:secret"));
        CPPUNIT_ASSERT(!findAccountByKey(*policies, "nobody:secret"));
        CPPUNIT_ASSERT(!findAccountByKey(*policies, "one"));
        CPPUNIT_ASSERT(!findAccountByKey(*policies, ""));
        CPPUNIT_ASSERT(randomHex(8) != randomHex(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ComponentsTest);

} // namespace reachlead

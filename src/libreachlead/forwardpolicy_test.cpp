// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include <reachlead/forwardpolicy.h>

namespace reachlead {

/// Tests the decision after a send, for each combination of a result and a state.
class ForwardPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardPolicyTest);
    CPPUNIT_TEST(whatMayHaveRunIsNeverRunAgainUnlessAllowed);
    CPPUNIT_TEST(notRunIsReportedOnlyWithProof);
    CPPUNIT_TEST(deliveredHeadIsNeverFollowedByAnother);
    CPPUNIT_TEST(boundsOnSendsHold);
    CPPUNIT_TEST(retriesHappenWhereTheyAreAllowed);
    CPPUNIT_TEST(serverErrorIsDeliveredUnchanged);
    CPPUNIT_TEST(runGoesOnFromItsCopyOnAnyRoute);
    CPPUNIT_TEST(refusedContinuationIsNoLeaveToRunAgain);
    CPPUNIT_TEST_SUITE_END();

    using Check = std::function<void(SendResult, const ForwardState &, const ForwardDecision &)>;

    /// Calls \p check for each combination of a result and a state.
    static void forEachCase(const Check &check)
    {
        for (unsigned bits = 0; bits < 1U << 6U; ++bits) {
            for (unsigned result = 0; result < static_cast<unsigned>(SendResult::Size); ++result) {
                for (unsigned kind = 0; kind < 3; ++kind) {
                    for (unsigned sends = 0; sends < 4; ++sends) {
                        ForwardState state;
                        state.kind = static_cast<RouteKind>(kind);
                        state.resumable = (bits & 1U) != 0;
                        state.headDelivered = (bits & 2U) != 0;
                        state.retryLeft = (bits & 4U) != 0;
                        state.timeLeft = (bits & 8U) != 0;
                        state.upstreamsLeft = (bits & 16U) != 0;
                        state.mayHaveRun = (bits & 32U) != 0;
                        state.sends = sends;
                        state.maxAttempts = 2;
                        state.connectFailures = sends;
                        state.connectRefusals = sends * maxConnectRefusals / 3;
                        const auto value = static_cast<SendResult>(result);
                        check(value, state, nextStep(value, state));
                    }
                }
            }
        }
    }

    static bool provesNotRun(SendResult result)
    {
        return result == SendResult::NotConnected || result == SendResult::RefusedNotRun;
    }

    void whatMayHaveRunIsNeverRunAgainUnlessAllowed()
    {
        forEachCase(
            [](SendResult result, const ForwardState &state, const ForwardDecision &decision) {
                const bool repeatable = state.kind == RouteKind::Safe
                    || (state.kind == RouteKind::Stream && state.resumable);
                if (decision.step == ForwardStep::Retry && !provesNotRun(result))
                    CPPUNIT_ASSERT(repeatable);
            });
    }

    void notRunIsReportedOnlyWithProof()
    {
        forEachCase(
            [](SendResult result, const ForwardState &state, const ForwardDecision &decision) {
                if (decision.step != ForwardStep::Refuse)
                    return;
                CPPUNIT_ASSERT(provesNotRun(result) && !state.mayHaveRun);
            });
    }

    void deliveredHeadIsNeverFollowedByAnother()
    {
        forEachCase(
            [](SendResult result, const ForwardState &state, const ForwardDecision &decision) {
                if (!state.headDelivered || result == SendResult::Complete)
                    return;
                const bool isRetried = decision.step == ForwardStep::Retry;
                CPPUNIT_ASSERT(isRetried || decision.step == ForwardStep::Abort);
                if (isRetried && !provesNotRun(result))
                    CPPUNIT_ASSERT(state.kind == RouteKind::Stream && state.resumable);
            });
    }

    void boundsOnSendsHold()
    {
        forEachCase(
            [](SendResult result, const ForwardState &state, const ForwardDecision &decision) {
                if (decision.step != ForwardStep::Retry)
                    return;
                CPPUNIT_ASSERT(state.timeLeft && state.upstreamsLeft);
                if (result == SendResult::NotConnected)
                    CPPUNIT_ASSERT(state.connectFailures < maxConnectFailures
                                   && state.connectRefusals < maxConnectRefusals);
                else
                    CPPUNIT_ASSERT(state.sends < state.maxAttempts && state.retryLeft);
            });
    }

    void retriesHappenWhereTheyAreAllowed()
    {
        ForwardState state;
        state.kind = RouteKind::Safe;
        state.sends = 1;
        state.maxAttempts = 2;
        state.retryLeft = state.timeLeft = state.upstreamsLeft = true;
        for (const SendResult result :
             {SendResult::Lost, SendResult::ServerError, SendResult::Corrupt,
              SendResult::RefusedNotRun, SendResult::NotConnected})
            CPPUNIT_ASSERT(nextStep(result, state).step == ForwardStep::Retry);
        state.kind = RouteKind::Unsafe;
        CPPUNIT_ASSERT(nextStep(SendResult::RefusedNotRun, state).step == ForwardStep::Retry);
        CPPUNIT_ASSERT(nextStep(SendResult::NotConnected, state).step == ForwardStep::Retry);
        CPPUNIT_ASSERT(nextStep(SendResult::Lost, state).step == ForwardStep::Fail);
    }

    void serverErrorIsDeliveredUnchanged()
    {
        ForwardState state;
        state.kind = RouteKind::Unsafe;
        state.sends = 1;
        CPPUNIT_ASSERT(nextStep(SendResult::ServerError, state).step == ForwardStep::Deliver);
    }

    static ForwardState lostRun()
    {
        ForwardState state;
        state.kind = RouteKind::Stream;
        state.headDelivered = true;
        state.retryLeft = true;
        state.timeLeft = true;
        state.upstreamsLeft = true;
        state.sends = 1;
        state.maxAttempts = 1;
        state.hasCopy = true;
        return state;
    }

    static ForwardStep afterLoss(const ForwardState &state)
    {
        return nextStep(SendResult::Lost, state).step;
    }

    void runGoesOnFromItsCopyOnAnyRoute()
    {
        ForwardState state = lostRun();
        CPPUNIT_ASSERT(afterLoss(state) == ForwardStep::Continue);
        state.headDelivered = false;
        CPPUNIT_ASSERT(afterLoss(state) == ForwardStep::Continue);
        for (bool ForwardState::*needed :
             {&ForwardState::hasCopy, &ForwardState::retryLeft, &ForwardState::timeLeft}) {
            state = lostRun();
            state.*needed = false;
            CPPUNIT_ASSERT(afterLoss(state) == ForwardStep::Abort);
        }
        state = lostRun();
        state.continuations = maxContinuations;
        CPPUNIT_ASSERT(afterLoss(state) == ForwardStep::Abort);
        for (const SendResult result :
             {SendResult::Corrupt, SendResult::Stalled, SendResult::ServerError})
            CPPUNIT_ASSERT(nextStep(result, lostRun()).step == ForwardStep::Abort);
    }

    /// An engine without the copy refuses the continuation as not run, but the run before it ran.
    void refusedContinuationIsNoLeaveToRunAgain()
    {
        for (const SendResult result : {SendResult::RefusedNotRun, SendResult::NotConnected}) {
            ForwardState state = lostRun();
            state.hasCopy = false;
            state.mayHaveRun = true;
            state.continuations = 1;
            state.maxAttempts = 3;
            CPPUNIT_ASSERT(nextStep(result, state).step == ForwardStep::Abort);
            state.headDelivered = false;
            CPPUNIT_ASSERT(nextStep(result, state).step == ForwardStep::Fail);
            state.resumable = true;
            CPPUNIT_ASSERT(nextStep(result, state).step == ForwardStep::Retry);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardPolicyTest);

} // namespace reachlead

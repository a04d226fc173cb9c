// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include <reachlead/forwardpolicy.h>

namespace reachlead {

/// What follows a send: every end in every state.
class ForwardPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardPolicyTest);
    CPPUNIT_TEST(whatMayHaveRunIsNeverRunAgainUnlessAllowed);
    CPPUNIT_TEST(notRunIsToldOnlyWithProof);
    CPPUNIT_TEST(deliveredHeadIsNeverFollowedByAnother);
    CPPUNIT_TEST(boundsOnSendsHold);
    CPPUNIT_TEST(retriesHappenWhereTheyAreAllowed);
    CPPUNIT_TEST(ownFailureIsDeliveredAsItIs);
    CPPUNIT_TEST_SUITE_END();

    using Check = std::function<void(SendResult, const ForwardState &, const ForwardDecision &)>;

    /// Calls \p check for each combination of an end and a state.
    static void forAll(const Check &check)
    {
        for (unsigned bits = 0; bits < 1U << 6U; ++bits) {
            for (unsigned end = 0; end < static_cast<unsigned>(SendResult::Size); ++end) {
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
                        const auto sent = static_cast<SendResult>(end);
                        check(sent, state, nextStep(sent, state));
                    }
                }
            }
        }
    }

    static bool provesNotRun(SendResult end)
    {
        return end == SendResult::NotConnected || end == SendResult::RefusedNotRun;
    }

    void whatMayHaveRunIsNeverRunAgainUnlessAllowed()
    {
        forAll([](SendResult end, const ForwardState &state, const ForwardDecision &decision) {
            const bool repeatable = state.kind == RouteKind::Safe
                || (state.kind == RouteKind::Stream && state.resumable);
            if (decision.step == ForwardStep::Retry && !provesNotRun(end))
                CPPUNIT_ASSERT(repeatable);
        });
    }

    void notRunIsToldOnlyWithProof()
    {
        forAll([](SendResult end, const ForwardState &state, const ForwardDecision &decision) {
            if (decision.step != ForwardStep::Refuse)
                return;
            CPPUNIT_ASSERT(provesNotRun(end) && !state.mayHaveRun);
        });
    }

    void deliveredHeadIsNeverFollowedByAnother()
    {
        forAll([](SendResult end, const ForwardState &state, const ForwardDecision &decision) {
            if (!state.headDelivered || end == SendResult::Complete)
                return;
            const bool goesOn = decision.step == ForwardStep::Retry;
            CPPUNIT_ASSERT(goesOn || decision.step == ForwardStep::Abort);
            if (goesOn && !provesNotRun(end))
                CPPUNIT_ASSERT(state.kind == RouteKind::Stream && state.resumable);
        });
    }

    void boundsOnSendsHold()
    {
        forAll([](SendResult end, const ForwardState &state, const ForwardDecision &decision) {
            if (decision.step != ForwardStep::Retry)
                return;
            CPPUNIT_ASSERT(state.timeLeft && state.upstreamsLeft);
            if (end == SendResult::NotConnected)
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
        for (const SendResult end : {SendResult::Lost, SendResult::ServerError, SendResult::Corrupt,
                                     SendResult::RefusedNotRun, SendResult::NotConnected})
            CPPUNIT_ASSERT(nextStep(end, state).step == ForwardStep::Retry);
        state.kind = RouteKind::Unsafe;
        CPPUNIT_ASSERT(nextStep(SendResult::RefusedNotRun, state).step == ForwardStep::Retry);
        CPPUNIT_ASSERT(nextStep(SendResult::NotConnected, state).step == ForwardStep::Retry);
        CPPUNIT_ASSERT(nextStep(SendResult::Lost, state).step == ForwardStep::Fail);
    }

    void ownFailureIsDeliveredAsItIs()
    {
        ForwardState state;
        state.kind = RouteKind::Unsafe;
        state.sends = 1;
        CPPUNIT_ASSERT(nextStep(SendResult::ServerError, state).step == ForwardStep::Deliver);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardPolicyTest);

} // namespace reachlead

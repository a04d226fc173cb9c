// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides what a gateway does after a send to an upstream. Pure functions.

#pragma once

#include <cstdint>
#include <string_view>

#include <reachlead/error.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Result of a send to an upstream.
enum class SendResult : std::uint8_t {
    Complete, ///< a complete answer was received
    NotConnected, ///< nothing was written, so it did not run
    RefusedNotRun, ///< the upstream states that it did not run it
    ServerError, ///< a complete 5xx answer of the upstream itself: it ran
    Lost, ///< the connection broke after something was written
    Corrupt, ///< received bytes that are not this call's answer
    Unmatched, ///< the answer does not go on at the caller's position: either may be at fault
    Stalled, ///< nothing was received for too long
    Size
};

std::string_view toString(SendResult result);

/// Input of the decision.
struct ForwardState
{
    RouteKind kind = RouteKind::Unsafe;
    bool resumable = false;
    bool headDelivered = false; ///< the head of an answer was sent to the caller
    unsigned sends = 0; ///< sends that may have reached an upstream, including this one
    unsigned maxAttempts = 1;
    bool mayHaveRun = false; ///< an earlier send ended without proof that it did not run
    unsigned connectFailures = 0; ///< sends without a connection, other than refused ones
    unsigned connectRefusals = 0; ///< sends whose connection was refused: no process listens
    bool retryLeft = false; ///< the retry budget is not exhausted
    bool timeLeft = false; ///< enough for another send
    bool upstreamsLeft = false; ///< there is an upstream that was not tried
    bool hasCopy = false; ///< another engine holds a copy of the run, and takes work
    unsigned continuations = 0; ///< sends that went on from a copy
};

enum class ForwardStep : std::uint8_t {
    Deliver, ///< deliver the upstream's answer to the caller
    Retry, ///< send again: from the start, or after the last event delivered
    Continue, ///< let the engine that holds a copy of the run go on with it
    Refuse, ///< report to the caller that it did not run, and when to retry
    Fail, ///< report to the caller that it may have run
    Abort ///< close the connection so that the answer is recognized as truncated
};

/// A step and the reason that logs and counters give for it.
struct ForwardDecision
{
    ForwardStep step = ForwardStep::Fail;
    ErrorKind kind = ErrorKind::None; ///< why the call ends or is retried
};

/// Decides the step that follows a send. Pure.
ForwardDecision nextStep(SendResult result, const ForwardState &state);

/// Maximum continuations of a call from copies of its run: enough for a caller whose engine and
/// backup engine crash together with others, and a bound on the engines that one request can reach.
inline constexpr unsigned maxContinuations = 3;

/// Maximum connect failures of a call: each may cost the caller the whole time limit of a
/// connection attempt.
inline constexpr unsigned maxConnectFailures = 4;

/// Maximum refused connections of a call, which take one round trip each. When several upstreams
/// exit at once, the registry still lists them for seconds, and a call may be refused several times
/// before it reaches one that runs.
inline constexpr unsigned maxConnectRefusals = 16;

} // namespace reachlead

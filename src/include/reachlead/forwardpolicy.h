// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway does when a send to an upstream did not end well: one pure table.

#pragma once

#include <cstdint>
#include <string_view>

#include <reachlead/error.h>
#include <reachlead/routing.h>

namespace reachlead {

/// How a send to an upstream ended.
enum class SendResult : std::uint8_t {
    Complete, ///< a whole answer came
    NotConnected, ///< nothing was written: it cannot run
    RefusedNotRun, ///< the upstream vouches that it did not run it
    ServerError, ///< a whole answer with a 5xx of the upstream's own: it ran
    Lost, ///< the connection broke after something was written
    Corrupt, ///< bytes that are not this call's answer
    Stalled, ///< no sign of life for too long
    Size
};

std::string_view toString(SendResult end);

/// What the decision rests on.
struct ForwardState
{
    RouteKind kind = RouteKind::Unsafe;
    bool resumable = false;
    bool headDelivered = false; ///< the caller already has the head of an answer
    unsigned sends = 0; ///< that may have reached an upstream, this one included
    unsigned maxAttempts = 1;
    bool mayHaveRun = false; ///< an earlier send ended without proof that it did not run
    unsigned connectFailures = 0; ///< sends that never left, as no connection opened in time
    unsigned connectRefusals =
        0; ///< sends that never left, as nobody listens at the upstream's address
    bool retryLeft = false; ///< the retry budget has one more
    bool timeLeft = false; ///< enough for another send to be of use
    bool upstreamsLeft = false; ///< an upstream that was not tried is there
};

enum class ForwardStep : std::uint8_t {
    Deliver, ///< give the caller the upstream's answer
    Retry, ///< from the start, or after the last event delivered
    Refuse, ///< tell the caller that it did not run, and when to come back
    Fail, ///< tell the caller that it may have run
    Abort ///< end the connection so that the answer cannot look whole
};

/// A step with the reason that goes into logs and counters.
struct ForwardDecision
{
    ForwardStep step = ForwardStep::Fail;
    ErrorKind kind = ErrorKind::None; ///< why the call ends, or is sent again
};

/// Decides what follows a send. Pure.
ForwardDecision nextStep(SendResult end, const ForwardState &state);

/// The most sends that never left before a call is refused: each may cost the caller the whole
/// limit of a connection attempt.
inline constexpr unsigned maxConnectFailures = 4;

/// The same where nobody listened, which shows in one round trip. After some upstreams ended at
/// once, the registry names them for seconds: with a bound of 4 a call was refused although 12 of
/// 16 upstreams would have served it.
inline constexpr unsigned maxConnectRefusals = 16;

} // namespace reachlead

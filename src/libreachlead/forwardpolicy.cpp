// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/forwardpolicy.h>

#include <array>

namespace reachlead {

namespace {

/// What the result of a send proves, and the error of the caller if the call is not retried.
struct ResultRow
{
    std::string_view name;
    bool provesNotRun = false;
    ErrorKind kind = ErrorKind::None;
};

constexpr std::array<ResultRow, static_cast<std::size_t>(SendResult::Size)> rows{{
    {"complete", false, ErrorKind::None},
    {"not-connected", true, ErrorKind::NoUpstream},
    {"refused-not-run", true, ErrorKind::AgentBusy},
    {"own-failure", false, ErrorKind::None},
    {"lost", false, ErrorKind::UpstreamLost},
    {"corrupt", false, ErrorKind::AnswerCorrupt},
    {"unmatched", false, ErrorKind::AnswerCorrupt},
    {"stalled", false, ErrorKind::UpstreamStalled},
}};

const ResultRow &resultRow(SendResult result)
{
    return rows[static_cast<std::size_t>(result)];
}

/// True when a call that may have run is allowed to run again.
bool isRepeatable(const ForwardState &state)
{
    if (state.kind == RouteKind::Stream)
        return state.resumable;
    return state.kind == RouteKind::Safe && !state.headDelivered;
}

/// True when the run may go on from its copy. It remains the same run, so this holds on any route
/// and does not count as an attempt. Only a lost connection qualifies: an upstream that sends
/// other bytes than an answer may still be at work.
///
/// Load pattern: engines reset each call as they start it. Before the first event there may be no
/// copy, and an engine with such a fault would run the call instead of refusing it, so only a run
/// that has begun its answer goes on.
bool mayContinue(SendResult result, const ForwardState &state)
{
    return result == SendResult::Lost && state.kind == RouteKind::Stream && state.hasCopy
        && state.continuations < maxContinuations && state.timeLeft && state.retryLeft;
}

bool mayRetry(SendResult result, const ForwardState &state)
{
    if (!state.timeLeft || !state.upstreamsLeft)
        return false;
    // Proof that a continuation did not run says nothing about the run that it continues.
    if (state.mayHaveRun && !isRepeatable(state))
        return false;
    if (result == SendResult::NotConnected)
        return state.connectFailures < maxConnectFailures
            && state.connectRefusals < maxConnectRefusals;
    if (state.sends >= state.maxAttempts || !state.retryLeft)
        return false;
    return resultRow(result).provesNotRun || isRepeatable(state);
}

} // namespace

std::string_view toString(SendResult result)
{
    return resultRow(result).name;
}

ForwardDecision nextStep(SendResult result, const ForwardState &state)
{
    const ResultRow &row = resultRow(result);
    if (result == SendResult::Complete)
        return {ForwardStep::Deliver, ErrorKind::None};
    if (mayContinue(result, state))
        return {ForwardStep::Continue, row.kind};
    if (mayRetry(result, state))
        return {ForwardStep::Retry, row.kind};
    if (state.headDelivered)
        return {ForwardStep::Abort, row.kind};
    if (result == SendResult::ServerError)
        return {ForwardStep::Deliver, ErrorKind::None};
    if (row.provesNotRun && !state.mayHaveRun)
        return {ForwardStep::Refuse, row.kind};
    if (row.provesNotRun)
        return {ForwardStep::Fail, ErrorKind::OutcomeUnknown};
    return {ForwardStep::Fail, row.kind};
}

} // namespace reachlead

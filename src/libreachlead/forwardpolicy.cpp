// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/forwardpolicy.h>

#include <array>

namespace reachlead {

namespace {

/// What the end of a send proves, and what the caller is told if nothing more is tried.
struct EndRow
{
    std::string_view name;
    bool provesNotRun = false;
    ErrorKind kind = ErrorKind::None;
};

constexpr std::array<EndRow, static_cast<std::size_t>(SendResult::Size)> rows{{
    {"complete", false, ErrorKind::None},
    {"not-connected", true, ErrorKind::NoUpstream},
    {"refused-not-run", true, ErrorKind::AgentBusy},
    {"own-failure", false, ErrorKind::None},
    {"lost", false, ErrorKind::UpstreamLost},
    {"corrupt", false, ErrorKind::AnswerCorrupt},
    {"stalled", false, ErrorKind::UpstreamStalled},
}};

const EndRow &rowOf(SendResult end)
{
    return rows[static_cast<std::size_t>(end)];
}

/// True when a call that may have run is allowed to run again.
bool isRepeatable(const ForwardState &state)
{
    if (state.kind == RouteKind::Stream)
        return state.resumable;
    return state.kind == RouteKind::Safe && !state.headDelivered;
}

bool maySendAgain(SendResult end, const ForwardState &state)
{
    if (!state.timeLeft || !state.upstreamsLeft)
        return false;
    if (end == SendResult::NotConnected)
        return state.connectFailures < maxConnectFailures
            && state.connectRefusals < maxConnectRefusals;
    if (state.sends >= state.maxAttempts || !state.retryLeft)
        return false;
    return rowOf(end).provesNotRun || isRepeatable(state);
}

} // namespace

std::string_view toString(SendResult end)
{
    return rowOf(end).name;
}

ForwardDecision nextStep(SendResult end, const ForwardState &state)
{
    const EndRow &row = rowOf(end);
    if (end == SendResult::Complete)
        return {ForwardStep::Deliver, ErrorKind::None};
    if (maySendAgain(end, state))
        return {ForwardStep::Retry, row.kind};
    if (state.headDelivered)
        return {ForwardStep::Abort, row.kind};
    if (end == SendResult::ServerError)
        return {ForwardStep::Deliver, ErrorKind::None};
    if (row.provesNotRun && !state.mayHaveRun)
        return {ForwardStep::Refuse, row.kind};
    if (row.provesNotRun)
        return {ForwardStep::Fail, ErrorKind::OutcomeUnknown};
    return {ForwardStep::Fail, row.kind};
}

} // namespace reachlead

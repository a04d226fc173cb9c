// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The complete list of error kinds, and the table of the responses that callers get for them.

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/clock.h>

namespace reachlead {

/// Reasons to refuse or end a request, or to move it to another upstream.
enum class ErrorKind : std::uint8_t {
    None,
    // The request is invalid.
    BadRequest,
    BodyTooLarge,
    HeaderTooLarge,
    SlowSender,
    KeyMissing,
    KeyUnknown,
    NotAllowed,
    PathUnknown,
    MethodNotAllowed,
    TargetUnknown,
    ClassUnknown,
    // A limit is reached, or the load is too high.
    AccountConnections,
    AccountConcurrency,
    AccountRate,
    AccountQueueShare,
    QueueFull,
    ShedForHigherTier,
    PredictedLate,
    DeadlineQueued,
    DeadlineRunning,
    OpenRequests,
    // The state of the fleet does not permit the request, or an attempt failed.
    NoUpstream,
    ZonesEvacuated,
    NoUpstreamInRegion,
    NoUpstreamOfVersion,
    StreamVersionUnknown,
    UpstreamLimit,
    UpstreamBackoff,
    SettingsAbsent,
    RouterStopping,
    AgentBusy,
    Preempted,
    AgentLeaving,
    AgentLost,
    UpstreamUnreachable,
    UpstreamLost,
    UpstreamStalled,
    UpstreamRefused,
    RetryBudgetSpent,
    RequestQuarantined,
    // Calls that are not repeatable.
    ClaimStoreDown,
    KeyInUse,
    KeyAnswered,
    OutcomeUnknown,
    // Other reasons.
    CallerDisconnected,
    Superseded,
    AnswerCorrupt,
    Internal,
    // Last, as routers and agents exchange the values.
    PromptPartQuarantined,
    QuarantinedInFlight,
    BufferSpaceFull,
    CallerStalled,
    QueueWaitExpired,
    HeldForMoreUrgent,
    SettingsOutdated,
    ConnectionNeeded,
    Size
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Size);

/// Whether the request ran at its upstream, as far as known.
enum class Outcome : std::uint8_t { NotRun, Ran, Unknown };

/// The response to the caller for one error kind.
struct ErrorRow
{
    ErrorKind kind = ErrorKind::None;
    std::string_view name; ///< machine-readable, sent as `kind`
    unsigned status = 500; ///< HTTP status
    Outcome outcome = Outcome::NotRun; ///< when no attempt shows otherwise
    std::optional<seconds> retryAfter; ///< when to retry; none: waiting does not help
    std::string_view text; ///< one human-readable sentence
};

const ErrorRow &errorRow(ErrorKind kind);

/// True if a call ends so because all upstreams of its service are full. Not so for lost calls:
/// those that come after it may find room.
bool isForLackOfCapacity(ErrorKind kind);

/// Looks up a kind by its machine-readable name, for reports and tests.
std::optional<ErrorKind> parseErrorKind(std::string_view name);

/// Returns `not-run`, `ran` or `unknown`.
std::string_view toString(Outcome outcome);

/// An error kind with a human-readable reason.
struct Error
{
    ErrorKind kind = ErrorKind::None;
    std::string reason;
};

} // namespace reachlead

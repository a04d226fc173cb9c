// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The closed list of error kinds, and the table from a kind to what the caller is told.

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/clock.h>

namespace reachlead {

/// Everything that can end or refuse a request, or move it to another upstream.
enum class ErrorKind : std::uint8_t {
    None,
    // The request itself is wrong.
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
    // A limit or the load stands against it.
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
    // The state of the fleet stands against it.
    NoUpstream,
    ZonesEvacuated,
    NoUpstreamInRegion,
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
    // Not-repeatable calls.
    ClaimStoreDown,
    KeyInUse,
    KeyAnswered,
    OutcomeUnknown,
    // Ends without a fault of ours.
    CallerDisconnected,
    Superseded,
    AnswerCorrupt,
    Internal,
    Size
};

/// The number of error kinds.
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Size);

/// What is known about whether the request ran at its upstream.
enum class Outcome : std::uint8_t { NotRun, Ran, Unknown };

/// One row of the table from a kind to its answer.
struct ErrorRow
{
    ErrorKind kind = ErrorKind::None;
    std::string_view name; ///< machine-readable, as in the answer's `kind`
    unsigned status = 500; ///< HTTP status
    Outcome outcome = Outcome::NotRun; ///< when the refusal alone decides it
    std::optional<seconds> retryAfter; ///< when to come back; none: not by waiting
    std::string_view text; ///< one sentence for people
};

/// The row of a kind.
const ErrorRow &errorRow(ErrorKind kind);

/// The kind of a name, for reports and tests.
std::optional<ErrorKind> parseErrorKind(std::string_view name);

/// `not-run`, `ran` or `unknown`.
std::string_view toString(Outcome outcome);

/// A kind with the readable last reason.
struct Error
{
    ErrorKind kind = ErrorKind::None;
    std::string reason;
};

} // namespace reachlead

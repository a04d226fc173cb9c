// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/error.h>

#include <algorithm>

namespace reachlead {

namespace {

using enum ErrorKind;
constexpr auto notRun = Outcome::NotRun;
constexpr auto ran = Outcome::Ran;
constexpr auto unknown = Outcome::Unknown;
constexpr std::nullopt_t never = std::nullopt;

constexpr seconds soon{1};
constexpr seconds later{5};
constexpr seconds muchLater{30};

// Statuses follow RFC 9110 and, for 429, RFC 6585. 499 is the de facto code for a client that
// closed its connection; it is never sent.
constexpr std::array<ErrorRow, errorKindCount> table{{
    {None, "none", 200, ran, never, "The request completed."},
    {BadRequest, "bad-request", 400, notRun, never, "The request is malformed."},
    {BodyTooLarge, "body-too-large", 413, notRun, never, "The body is larger than allowed."},
    {HeaderTooLarge, "header-too-large", 431, notRun, never, "The header is larger than allowed."},
    {SlowSender, "slow-sender", 408, notRun, never, "The request did not arrive in time."},
    {KeyMissing, "key-missing", 401, notRun, never, "An API key is required."},
    {KeyUnknown, "key-unknown", 401, notRun, never, "The API key is not valid."},
    {NotAllowed, "not-allowed", 403, notRun, never, "The account may not use this."},
    {PathUnknown, "path-unknown", 404, notRun, never, "There is nothing at this path."},
    {MethodNotAllowed, "method-not-allowed", 405, notRun, never, "The method is not allowed here."},
    {TargetUnknown, "target-unknown", 404, notRun, never, "No such model or service."},
    {ClassUnknown, "class-unknown", 400, notRun, never, "No such class of requests."},
    {AccountConnections, "account-connections", 429, notRun, soon,
     "The account has too many connections."},
    {AccountConcurrency, "account-concurrency", 429, notRun, soon,
     "The account has too many requests in progress."},
    {AccountRate, "account-rate", 429, notRun, soon, "The account is over its token rate."},
    {AccountQueueShare, "account-queue-share", 429, notRun, soon,
     "The account fills its share of the queue."},
    {QueueFull, "queue-full", 503, notRun, soon, "The queue of this class is full."},
    {ShedForHigherTier, "shed-for-higher-tier", 503, notRun, later,
     "The place was needed by a request of higher priority."},
    {PredictedLate, "predicted-late", 503, notRun, later,
     "The answer would have come after its target."},
    {DeadlineQueued, "deadline-queued", 504, notRun, later, "The deadline passed in the queue."},
    {DeadlineRunning, "deadline-running", 504, ran, never,
     "The deadline passed while the request ran."},
    {OpenRequests, "open-requests", 503, notRun, soon, "The router has too many open requests."},
    {NoUpstream, "no-upstream", 503, notRun, later, "No upstream serves this now."},
    {ZonesEvacuated, "zones-evacuated", 503, notRun, later,
     "All zones with upstreams of this service are evacuated."},
    {NoUpstreamInRegion, "no-upstream-in-region", 503, notRun, later,
     "No upstream serves this in a region that the route and the account allow."},
    {NoUpstreamOfVersion, "no-upstream-of-version", 503, notRun, later,
     "No upstream of the software version that began this stream takes work now."},
    {StreamVersionUnknown, "stream-version-unknown", 503, notRun, soon,
     "It is not known which software version began this stream."},
    {UpstreamLimit, "upstream-limit", 503, notRun, soon,
     "The upstreams of this service take no more requests a second now."},
    {UpstreamBackoff, "upstream-backoff", 503, notRun, soon,
     "The upstreams of this service turned requests away and asked for a pause."},
    {SettingsAbsent, "settings-absent", 503, notRun, soon, "The router has no settings yet."},
    {RouterStopping, "router-stopping", 503, notRun, soon, "The router is shutting down."},
    {AgentBusy, "agent-busy", 503, notRun, soon, "The upstream had no room."},
    {Preempted, "preempted", 503, ran, soon,
     "The place at the upstream was needed by a request of higher priority."},
    {AgentLeaving, "agent-leaving", 503, notRun, soon, "The upstream is leaving."},
    {AgentLost, "agent-lost", 502, notRun, soon, "The upstream's agent was lost before the start."},
    {UpstreamUnreachable, "upstream-unreachable", 502, notRun, soon,
     "The upstream could not be reached."},
    {UpstreamLost, "upstream-lost", 502, ran, soon, "The upstream failed during the answer."},
    {UpstreamStalled, "upstream-stalled", 504, ran, soon, "The upstream stopped answering."},
    {UpstreamRefused, "upstream-refused", 502, notRun, soon, "The upstream refused the request."},
    {RetryBudgetSpent, "retry-budget-spent", 503, notRun, later,
     "Too many retries are under way for this class."},
    {RequestQuarantined, "request-quarantined", 503, notRun, muchLater,
     "Upstreams ended while they ran this very request, so it is sent to none."},
    {ClaimStoreDown, "claim-store-down", 503, notRun, muchLater,
     "The key could not be claimed, so the call was not made."},
    {KeyInUse, "key-in-use", 409, notRun, soon, "A request with this key is in progress."},
    {KeyAnswered, "key-answered", 409, notRun, never,
     "Another request holds this key, and its answer is not held here."},
    {OutcomeUnknown, "outcome-unknown", 504, unknown, never,
     "It cannot be known whether the request ran."},
    {CallerDisconnected, "caller-gone", 499, unknown, never, "The caller went away."},
    {Superseded, "superseded", 409, notRun, never, "A newer session took the request over."},
    {AnswerCorrupt, "answer-corrupt", 502, ran, never, "The answer failed its check."},
    {Internal, "internal", 500, unknown, never, "The router failed."},
    {PromptPartQuarantined, "prompt-part-quarantined", 503, notRun, muchLater,
     "Upstreams crash when they begin to answer on a part of this prompt, so it is sent to none."},
    {QuarantinedInFlight, "quarantined-in-flight", 502, unknown, muchLater,
     "The request was sent to an upstream, and was then found to be one that crashes upstreams."},
    {BufferSpaceFull, "buffer-space-full", 503, notRun, soon,
     "The gateway holds as many bytes for callers as it may."},
    {CallerStalled, "caller-stalled", 499, unknown, never,
     "The caller stopped reading its answer."},
    {QueueWaitExpired, "queue-wait-expired", 503, notRun, later,
     "No upstream became free while an answer would still have been useful."},
    {HeldForMoreUrgent, "held-for-more-urgent", 503, notRun, soon,
     "More urgent calls of this service were turned away a short time ago."},
    {SettingsOutdated, "settings-outdated", 503, notRun, soon,
     "By the settings that this router has this would be denied, but they may be outdated."},
    {ConnectionNeeded, "connection-needed", 503, notRun, soon,
     "The connection was needed by other callers before the request had arrived."},
}};

constexpr bool isInEnumOrder()
{
    for (std::size_t n = 0; n < table.size(); ++n) {
        if (static_cast<std::size_t>(table[n].kind) != n)
            return false;
    }
    return true;
}
static_assert(isInEnumOrder(), "the table must list every kind in the order of the enum");

} // namespace

const ErrorRow &errorRow(ErrorKind kind)
{
    return table[std::min(static_cast<std::size_t>(kind), errorKindCount - 1)];
}

bool isForLackOfCapacity(ErrorKind kind)
{
    constexpr std::array kinds{QueueFull,       DeadlineQueued, UpstreamLimit,
                               UpstreamBackoff, AgentBusy,      QueueWaitExpired};
    return std::ranges::find(kinds, kind) != kinds.end();
}

std::optional<ErrorKind> parseErrorKind(std::string_view name)
{
    const auto it = std::ranges::find(table, name, &ErrorRow::name);
    if (it == table.end())
        return std::nullopt;
    return it->kind;
}

std::string_view toString(Outcome outcome)
{
    constexpr std::array<std::string_view, 3> names{"not-run", "ran", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace reachlead

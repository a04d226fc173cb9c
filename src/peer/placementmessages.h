// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between gateways about the placement of calls.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/placement/placementgroups.h>
#include <reachlead/placement/refusalorder.h>

#include "peer/gatewaymessages.h"

namespace reachlead {

/// A gateway's report of the load that its calls cause at the upstreams of one group.
struct GroupLoad
{
    VmName from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< of all messages sent by this incarnation
    GroupName group;
    QueryId oldestPendingQuery = 0; ///< as in ReportedLoad
    std::vector<CompactLoad> load;
    RateSample rateSample; ///< of the group's service, since the last report
    /// Observed at some of the group's upstreams and not reported yet; empty unless speeds are
    /// learned by upstream.
    std::vector<CompactWorkSample> workSamples;
    std::vector<CompactLimit> limits; ///< of the group's upstreams, received recently
    std::vector<UpstreamId> leaving; ///< upstreams of the service that recently announced it
    /// The last grant of the scheduler whose call is included in the load; none: no call has
    /// waited.
    std::optional<QueryId> lastGrant = std::nullopt;
    std::optional<RankHolds> holds = std::nullopt; ///< of the service, as known to the sender

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, group, oldestPendingQuery, load, rateSample, workSamples,
           limits, leaving, lastGrant, holds);
    }
};

/// A prompt part in compact form.
struct CompactPromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, tokens); }
};

/// What a scheduler needs to know of a call that may wait there.
struct QueueTerms
{
    AccountName account;
    std::uint64_t requestKey = 0; ///< as in SelectionQuery
    std::uint32_t outputTokens = 0; ///< as in SelectionQuery
    std::uint32_t bytes = 0; ///< as in SelectionQuery
    std::uint32_t waitedMs = 0; ///< at schedulers that were lost or are stopping

    template <class Archive> void serialize(Archive &ar)
    {
        ar(account, requestKey, outputTokens, bytes, waitedMs);
    }
};

/// Query for the upstream at which to place a call.
struct PlacementQuery
{
    GroupLoad report; ///< the querying gateway's load in the group
    QueryId queryId = 0;
    ZoneName zone; ///< of the querying gateway
    std::string model;
    std::vector<CompactPromptPart> prompt;
    /// Upstreams not to be selected: this call has already tried them, or they requested a backoff
    /// from the querying gateway.
    std::vector<UpstreamHash> excluded;
    std::vector<UpstreamHash> failing; ///< as seen by the querying gateway
    std::uint32_t targetMs = 0; ///< time to the first event; 0: no target
    std::uint32_t timeLeftMs = 0; ///< until the caller's deadline
    std::uint16_t maxWaitMs = 0; ///< as in LatencySlack, about a minute at most
    std::uint8_t urgencyRank = 0; ///< as in LatencySlack
    bool mayRefuse = false; ///< as in SelectionQuery
    bool mayHold = false; ///< as in SelectionQuery
    std::optional<ZoneSet> permittedZones; ///< as in SelectionQuery
    std::optional<SoftwareVersion> softwareVersion; ///< as in SelectionQuery
    std::optional<QueueTerms> queue =
        std::nullopt; ///< none: the call does not wait at the scheduler

    template <class Archive> void serialize(Archive &ar)
    {
        ar(report, queryId, zone, model, prompt, excluded, failing, targetMs, timeLeftMs, maxWaitMs,
           urgencyRank, mayRefuse, mayHold, permittedZones, softwareVersion, queue);
    }
};

/// Maximum number of failing upstreams in a query: 64 bytes.
inline constexpr std::size_t maxFailingUpstreams = 16;
/// Maximum number of upstreams in a query that requested a backoff: 128 bytes, about one group.
inline constexpr std::size_t maxBackedOffUpstreams = 32;

/// The upstream selected for a call, in compact form.
struct PlacedCall
{
    UpstreamHash upstream = 0;
    std::uint32_t prefillTokens = 0;
    std::int32_t costMs = 0;
    std::uint32_t tokensToFirstEvent = 0; ///< as in Selection
    bool isPreferred = false;
    bool isShortPrompt = false;
    std::optional<UpstreamHash> fetchFrom;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(upstream, prefillTokens, costMs, tokensToFirstEvent, isPreferred, isShortPrompt,
           fetchFrom);
    }
};

/// What a scheduler at which calls wait adds to a reply.
struct QueueReply
{
    /// The call waits, and there will be another reply within this time; 0: this is the last one.
    std::uint32_t waitMs = 0;
    QueryId grant = 0; ///< number of the grant to a call that waited; 0: none
    std::uint32_t waitedMs = 0; ///< until this reply

    template <class Archive> void serialize(Archive &ar) { ar(waitMs, grant, waitedMs); }
};

/// Reply to a PlacementQuery. A call that waits gets a second one.
struct PlacementReply
{
    VmName from;
    Incarnation querier; ///< incarnation of the querying gateway
    QueryId queryId = 0;
    std::optional<PlacedCall> placed; ///< none: refused, or the querying gateway is to select
    std::optional<std::uint32_t> retryAfterMs; ///< set if the call is refused
    std::uint8_t refusal = 0; ///< the ErrorKind of a refusal
    bool isStopping = false; ///< the querying gateway is to query another one from now on
    std::optional<QueueReply> queue = std::nullopt; ///< set while calls of the group wait
    std::optional<RankHolds> holds = std::nullopt; ///< as in GroupLoad

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, querier, queryId, placed, retryAfterMs, refusal, isStopping, queue, holds);
    }
};

/// Tells a scheduler that a call still waits, to which the reply is the last one that concerns the
/// call, or that it was withdrawn.
struct WaitingCallNote
{
    VmName from;
    Incarnation incarnation;
    GroupName group;
    QueryId queryId = 0;
    bool isWithdrawn = false;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, group, queryId, isWithdrawn);
    }
};

/// Payloads have no length prefix. Decoding invalid bytes returns nothing and sets \p reason.
std::string encodeGroupLoad(const GroupLoad &report);
std::optional<GroupLoad> decodeGroupLoad(std::string_view payload, std::string *reason);
std::string encodePlacementQuery(const PlacementQuery &query);
std::optional<PlacementQuery> decodePlacementQuery(std::string_view payload, std::string *reason);
std::string encodePlacementReply(const PlacementReply &reply);
std::optional<PlacementReply> decodePlacementReply(std::string_view payload, std::string *reason);
std::string encodeWaitingCallNote(const WaitingCallNote &note);
std::optional<WaitingCallNote> decodeWaitingCallNote(std::string_view payload, std::string *reason);

} // namespace reachlead

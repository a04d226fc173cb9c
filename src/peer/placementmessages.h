// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What gateways say to each other about where a call is to be placed.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/placementgroups.h>

#include "peer/gatewaymessages.h"

namespace reachlead {

/// Who sends, in which life, and the load that it causes at one group's upstreams.
struct GroupLoad
{
    VmName from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< of all that this life of the gateway sends
    GroupName group;
    QueryId oldestPendingQuery = 0; ///< as in ReportedLoad
    std::vector<CompactLoad> load;
    RateSample rateSample; ///< of the group's service, seen since the last report
    std::vector<CompactLimit> limits; ///< of the group's upstreams, heard lately
    std::vector<UpstreamId> leaving; ///< of the group's service, that said so lately

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, group, oldestPendingQuery, load, rateSample, limits,
           leaving);
    }
};

/// A part of a prompt, short.
struct CompactPromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, tokens); }
};

/// Asks where a call is to be placed.
struct PlacementQuery
{
    GroupLoad report; ///< what the asker has there already
    QueryId queryId = 0;
    ZoneName zone; ///< of the asker
    std::string model;
    std::vector<CompactPromptPart> prompt;
    /// Not to be taken: tried by this call in vain, or the asker was asked to back off.
    std::vector<UpstreamHash> excluded;
    std::vector<UpstreamHash> failing; ///< by the asker's evidence
    std::uint32_t targetMs = 0; ///< to the first event; 0: none is promised
    std::uint32_t timeLeftMs = 0; ///< until the caller gives up
    bool isMostUrgent = false; ///< as in Patience
    std::uint8_t urgencyRank = 0; ///< as in Patience
    bool mayRefuse = false; ///< as in SelectionQuery
    std::optional<ZoneSet> permittedZones; ///< as in SelectionQuery

    template <class Archive> void serialize(Archive &ar)
    {
        ar(report, queryId, zone, model, prompt, excluded, failing, targetMs, timeLeftMs,
           isMostUrgent, urgencyRank, mayRefuse, permittedZones);
    }
};

/// Failing upstreams in one question: 64 bytes.
inline constexpr std::size_t maxFailingUpstreams = 16;
/// Upstreams that the asker backs off from, in one question: 128 bytes, about a group.
inline constexpr std::size_t maxBackedOffUpstreams = 32;

/// Where a call is to be placed.
struct PlacedCall
{
    UpstreamHash upstream = 0;
    std::uint32_t prefillTokens = 0;
    std::int32_t costMs = 0;
    std::uint32_t tokensToFirstEvent = 0; ///< as in Choice
    bool isPreferred = false;
    bool isShortPrompt = false;
    std::optional<UpstreamHash> fetchFrom;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(upstream, prefillTokens, costMs, tokensToFirstEvent, isPreferred, isShortPrompt,
           fetchFrom);
    }
};

/// Answers a PlacementQuery.
struct PlacementReply
{
    VmName from;
    Incarnation querier; ///< the life of the gateway that asked
    QueryId queryId = 0;
    std::optional<PlacedCall> placed; ///< none: decide by yourself, unless it is refused
    std::optional<std::uint32_t> retryAfterMs; ///< refused until then
    bool isStopping = false; ///< another gateway is to be asked from now on

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, querier, queryId, placed, retryAfterMs, isStopping);
    }
};

/// Payloads without a length ahead. Decoding gives nothing with \p reason set for other bytes.
std::string encodeGroupLoad(const GroupLoad &report);
std::optional<GroupLoad> decodeGroupLoad(std::string_view payload, std::string *reason);
std::string encodePlacementQuery(const PlacementQuery &ask);
std::optional<PlacementQuery> decodePlacementQuery(std::string_view payload, std::string *reason);
std::string encodePlacementReply(const PlacementReply &answer);
std::optional<PlacementReply> decodePlacementReply(std::string_view payload, std::string *reason);

} // namespace reachlead

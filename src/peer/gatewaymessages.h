// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What gateways tell each other: small datagrams all the time, a whole state when one is behind.

#pragma once

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/fleetsource.h>
#include <reachlead/fleettime.h>
#include <reachlead/upstreamtable.h>

namespace reachlead {

/// The load that a gateway causes at one upstream, short: beats are the most of what gateways send.
struct CompactLoad
{
    UpstreamHash upstream = 0;
    std::uint16_t running = 0; ///< the most that fits where there is more
    std::uint16_t prefillUnits = 0; ///< in units of tokensPerUnit, rounded up
    std::uint16_t shortPrompts = 0; ///< of those that run, with a short prompt

    static constexpr std::uint64_t tokensPerUnit = 64;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(upstream, running, prefillUnits, shortPrompts);
    }
};

/// Where a part of a prompt was placed, short.
struct CompactHint
{
    UpstreamHash upstream = 0;
    PromptKey key = 0;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, key); }
};

/// The short forms, the largest loads first where there are more than maxReportedLoads; and back,
/// without those of upstreams that the directory does not know.
std::vector<CompactLoad> compactLoad(const LoadByUpstream &load);
std::vector<CompactHint> compactHints(const std::vector<PromptHint> &notes);
LoadByUpstream expandLoad(const std::vector<CompactLoad> &load, const UpstreamDirectory &directory);
std::vector<PromptHint> expandHints(const std::vector<CompactHint> &notes,
                                    const UpstreamDirectory &directory);

/// What was heard of an upstream's limit, short.
struct CompactLimit
{
    UpstreamHash upstream = 0;
    CallRate limit; ///< noLimit: it is over
    UnixMillis timestamp = 0; ///< as in LimitUpdate

    static constexpr CallRate noLimit{std::numeric_limits<std::uint32_t>::max()};

    template <class Archive> void serialize(Archive &ar) { ar(upstream, limit, timestamp); }
};

/// The short forms, and back without those of upstreams that the directory does not know.
std::vector<CompactLimit> compactLimits(const std::vector<LimitUpdate> &notes);
std::vector<LimitUpdate> expandLimits(const std::vector<CompactLimit> &limits,
                                      const UpstreamDirectory &directory);

/// Limits in one message: 0.13 KB.
inline constexpr std::size_t maxReportedLimits = 8;

/// Upstreams that leave, in one message: 0.1 KB. By their ids, as the mistake of a tag would take
/// another upstream out of use for good.
inline constexpr std::size_t maxReportedLeaving = 4;

/// Upstreams in one beat: 0.6 KB.
inline constexpr std::size_t maxReportedLoads = 64;

/// A gateway that the sender knows to live, short.
struct CompactLiveGateway
{
    std::uint32_t vm = 0; ///< as vmHash()
    std::uint8_t ageTenths = 0; ///< of a second since it was heard, by whomever; rounded up

    template <class Archive> void serialize(Archive &ar) { ar(vm, ageTenths); }
};

/// Stands for a gateway's name where a mix-up does no harm.
std::uint32_t vmHash(const VmName &vm);

/// Lives in one beat: 0.1 KB. Some twelve beats a second then tell of 300 gateways.
inline constexpr std::size_t maxReportedGateways = 24;

/// A datagram: who lives, what it knows, and the load that it causes.
struct GatewayHeartbeat
{
    GatewayEntry from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< rises with each beat of an incarnation
    std::uint64_t configVersion = 0;
    std::uint64_t registryRevision = 0;
    std::uint64_t evacuationRevision = 0; ///< as Evacuations::revision()
    std::uint32_t evacuationChecksum = 0; ///< as Evacuations::mark()
    std::uint64_t rosterRevision = 0; ///< as GatewayRoster::revision
    std::int32_t ageMs = unknownAge; ///< of the state: since it was known to be current
    UnixMillis clock = 0; ///< the sender's time of day
    std::uint64_t quarantineChecksum = 0; ///< as CrashTracker::mark()
    std::vector<CompactLoad> load;
    QueryId oldestPendingQuery = 0; ///< as in ReportedLoad
    std::vector<CompactHint> hints; ///< placed lately
    std::vector<CompactLimit> limits; ///< some of those heard lately
    std::vector<UpstreamId> leaving; ///< some that said so lately
    std::vector<GatewayEntry> sample; ///< some gateways that the sender heard lately
    std::vector<CompactLiveGateway>
        liveGateways; ///< the same of more of them, where beats do not reach all

    static constexpr std::int32_t unknownAge = -1;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, configVersion, registryRevision, evacuationRevision,
           evacuationChecksum, rosterRevision, ageMs, clock, quarantineChecksum, load,
           oldestPendingQuery, hints, limits, leaving, sample, liveGateways);
    }
};

/// Asks for what is newer than the asker's state.
struct StateQuery
{
    StateVersions known;
    std::uint64_t nonce = 0; ///< the proof of the answer is bound to it

    template <class Archive> void serialize(Archive &ar) { ar(known, nonce); }
};

/// Payloads without a length ahead. Decoding gives nothing with \p reason set for other bytes.
std::string encodeGatewayHeartbeat(const GatewayHeartbeat &beat);
std::optional<GatewayHeartbeat> decodeGatewayHeartbeat(std::string_view payload,
                                                       std::string *reason);
std::string encodeStateQuery(const StateQuery &ask);
std::optional<StateQuery> decodeStateQuery(std::string_view payload, std::string *reason);
std::string encodeStateUpdate(const StateUpdate &news);
std::optional<StateUpdate> decodeStateUpdate(std::string_view payload, std::string *reason);

} // namespace reachlead

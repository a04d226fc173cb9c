// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between gateways: frequent small heartbeats as datagrams, and the exchange of state
/// when one gateway is behind.

#pragma once

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/fleetsource.h>
#include <reachlead/fleettime.h>
#include <reachlead/peerlag.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Compact form of the load that a gateway causes at one upstream, as heartbeats are most of the
/// traffic between gateways.
struct CompactLoad
{
    UpstreamHash upstream = 0;
    std::uint16_t running = 0; ///< saturates
    std::uint16_t prefillUnits = 0; ///< of tokensPerUnit, rounded up; saturates
    std::uint16_t shortPrompts = 0; ///< running requests with a short prompt; saturates

    static constexpr std::uint64_t tokensPerUnit = 64; ///< prefill tokens

    template <class Archive> void serialize(Archive &ar)
    {
        ar(upstream, running, prefillUnits, shortPrompts);
    }
};

/// Compact form of a hint about where part of a prompt was placed.
struct CompactHint
{
    UpstreamHash upstream = 0;
    PromptKey key = 0;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, key); }
};

/// Conversion to the compact form and back. Of more than maxReportedLoads loads, only the largest
/// are converted. Entries whose upstream is not in the directory are not converted back.
std::vector<CompactLoad> compactLoad(const LoadByUpstream &load);
std::vector<CompactHint> compactHints(const std::vector<PromptHint> &hints);
LoadByUpstream expandLoad(const std::vector<CompactLoad> &load, const UpstreamDirectory &directory);
std::vector<PromptHint> expandHints(const std::vector<CompactHint> &hints,
                                    const UpstreamDirectory &directory);

/// Compact form of a change of an upstream's limit.
struct CompactLimit
{
    UpstreamHash upstream = 0;
    CallRate limit; ///< noLimit: the limit has ended
    UnixMillis timestamp = 0; ///< see LimitUpdate

    static constexpr CallRate noLimit{std::numeric_limits<std::uint32_t>::max()};

    template <class Archive> void serialize(Archive &ar) { ar(upstream, limit, timestamp); }
};

/// Conversion to the compact form and back, without upstreams that are not in the directory.
std::vector<CompactLimit> compactLimits(const std::vector<LimitUpdate> &updates);
std::vector<LimitUpdate> expandLimits(const std::vector<CompactLimit> &limits,
                                      const UpstreamDirectory &directory);

/// Compact form of the observed speed of an upstream.
struct CompactWorkSample
{
    UpstreamHash upstream = 0;
    WorkSample sample;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, sample.work, sample.ms); }
};

/// Conversion to the compact form and back, without upstreams that are not in the directory.
std::vector<CompactWorkSample> compactWorkSamples(const UpstreamSpeeds::SamplesByUpstream &samples);
UpstreamSpeeds::SamplesByUpstream expandWorkSamples(const std::vector<CompactWorkSample> &samples,
                                                    const UpstreamDirectory &directory);

/// Maximum number of speeds in one report: 0.2 KB. A few reports cover a group of upstreams.
inline constexpr std::size_t maxReportedSpeeds = 16;

/// Maximum number of limits in one message: 0.13 KB.
inline constexpr std::size_t maxReportedLimits = 8;

/// Maximum number of leaving upstreams in one message: 0.1 KB. They are named by id, since a hash
/// collision would take another upstream out of service permanently.
inline constexpr std::size_t maxReportedLeaving = 4;

/// Maximum number of upstream loads in one heartbeat: 0.6 KB.
inline constexpr std::size_t maxReportedLoads = 64;

/// Compact form of a gateway that the sender knows to be alive.
struct CompactLiveGateway
{
    std::uint32_t vm = 0; ///< see vmHash()
    std::uint8_t ageTenths = 0; ///< time since a gateway received from it, in 0.1 s, rounded up

    template <class Archive> void serialize(Archive &ar) { ar(vm, ageTenths); }
};

/// Short hash of a gateway's name, for uses where a collision is harmless.
std::uint32_t vmHash(const VmName &vm);

/// Maximum number of live gateways in one heartbeat: 0.1 KB. With about twelve heartbeats a
/// second, these cover 300 gateways.
inline constexpr std::size_t maxReportedGateways = 24;

/// A datagram with the sender's versions, the load that it causes, and the live gateways it knows.
struct GatewayHeartbeat
{
    GatewayEntry from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< increases with each message of an incarnation
    std::uint64_t configVersion = 0;
    StoreRevision registryRevision;
    StoreRevision evacuationRevision; ///< see Evacuations::revision()
    std::uint32_t evacuationChecksum = 0; ///< see Evacuations::checksum()
    StoreRevision rosterRevision; ///< see GatewayRoster::revision
    std::int32_t ageMs = unknownAge; ///< time since the state was last known to be current
    std::uint64_t sentAtMs = 0; ///< by the sender's steady clock
    UnixMillis clock = 0; ///< time of day at the sender
    std::uint64_t quarantineChecksum = 0; ///< see CrashTracker::checksum()
    std::vector<CompactLoad> load;
    QueryId oldestPendingQuery = 0; ///< see ReportedLoad
    std::vector<CompactHint> hints; ///< of prompts placed recently
    std::vector<CompactLimit> limits; ///< some of those received recently
    std::vector<UpstreamId> leaving; ///< some that announced it recently
    std::vector<GatewayEntry> sample; ///< some gateways that were recently alive
    /// More live gateways, in fleets where heartbeats do not reach all gateways in time.
    std::vector<CompactLiveGateway> liveGateways;

    static constexpr std::int32_t unknownAge = -1;

    ReportedVersions versions() const
    {
        return {configVersion, registryRevision, evacuationRevision, rosterRevision};
    }

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, configVersion, registryRevision, evacuationRevision,
           evacuationChecksum, rosterRevision, ageMs, sentAtMs, clock, quarantineChecksum, load,
           oldestPendingQuery, hints, limits, leaving, sample, liveGateways);
    }
};

/// Requests everything newer than the querying gateway's state.
struct StateQuery
{
    StateVersions known;
    std::uint64_t nonce = 0; ///< the reply's authentication tag is bound to it

    template <class Archive> void serialize(Archive &ar) { ar(known, nonce); }
};

/// Payloads without a length prefix. Decoding returns nothing and sets \p reason when the bytes are
/// not such a message.
std::string encodeGatewayHeartbeat(const GatewayHeartbeat &heartbeat);
std::optional<GatewayHeartbeat> decodeGatewayHeartbeat(std::string_view payload,
                                                       std::string *reason);
std::string encodeStateQuery(const StateQuery &query);
std::optional<StateQuery> decodeStateQuery(std::string_view payload, std::string *reason);
std::string encodeStateUpdate(const StateUpdate &update);
std::optional<StateUpdate> decodeStateUpdate(std::string_view payload, std::string *reason);

} // namespace reachlead

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
struct TaggedLoad
{
    UpstreamHash upstream = 0;
    std::uint16_t running = 0; ///< the most that fits where there is more
    std::uint16_t unread = 0; ///< in units of tokensPerUnit, rounded up
    std::uint16_t brief = 0; ///< of those that run, with a short prompt

    static constexpr std::uint64_t tokensPerUnit = 64;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, running, unread, brief); }
};

/// Where a part of a prompt was placed, short.
struct TaggedNote
{
    UpstreamHash upstream = 0;
    PromptKey key = 0;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, key); }
};

/// The short forms, the largest loads first where there are more than mostLoads; and back, without
/// those of upstreams that the directory does not know.
std::vector<TaggedLoad> tagLoad(const LoadByUpstream &load);
std::vector<TaggedNote> tagNotes(const std::vector<PromptHint> &notes);
LoadByUpstream untagLoad(const std::vector<TaggedLoad> &load, const UpstreamDirectory &directory);
std::vector<PromptHint> untagNotes(const std::vector<TaggedNote> &notes,
                                   const UpstreamDirectory &directory);

/// What was heard of an upstream's limit, short.
struct TaggedLimit
{
    UpstreamHash upstream = 0;
    CallRate limit; ///< noLimit: it is over
    UnixMillis stamp = 0; ///< as in LimitUpdate

    static constexpr CallRate noLimit{std::numeric_limits<std::uint32_t>::max()};

    template <class Archive> void serialize(Archive &ar) { ar(upstream, limit, stamp); }
};

/// The short forms, and back without those of upstreams that the directory does not know.
std::vector<TaggedLimit> tagLimits(const std::vector<LimitUpdate> &notes);
std::vector<LimitUpdate> untagLimits(const std::vector<TaggedLimit> &limits,
                                     const UpstreamDirectory &directory);

/// Limits in one message: 0.13 KB.
inline constexpr std::size_t mostLimits = 8;

/// Upstreams that leave, in one message: 0.1 KB. By their ids, as the mistake of a tag would take
/// another upstream out of use for good.
inline constexpr std::size_t mostLeaving = 4;

/// Upstreams in one beat: 0.6 KB.
inline constexpr std::size_t mostLoads = 64;

/// A gateway that the sender knows to live, short.
struct TaggedLife
{
    std::uint32_t vm = 0; ///< as vmTagOf()
    std::uint8_t ageTenths = 0; ///< of a second since it was heard, by whomever; rounded up

    template <class Archive> void serialize(Archive &ar) { ar(vm, ageTenths); }
};

/// Stands for a gateway's name where a mix-up does no harm.
std::uint32_t vmTagOf(const VmName &vm);

/// Lives in one beat: 0.1 KB. Some twelve beats a second then tell of 300 gateways.
inline constexpr std::size_t mostLives = 24;

/// A datagram: who lives, what it knows, and the load that it causes.
struct GatewayBeat
{
    GatewayEntry from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< rises with each beat of an incarnation
    std::uint64_t configVersion = 0;
    std::uint64_t registryRevision = 0;
    std::uint64_t evacuationRevision = 0; ///< as Evacuations::revision()
    std::uint32_t evacuationMark = 0; ///< as Evacuations::mark()
    std::uint64_t rosterRevision = 0; ///< as GatewayRoster::revision
    std::int32_t ageMs = unknownAge; ///< of the state: since it was known to be current
    UnixMillis clock = 0; ///< the sender's time of day
    std::uint64_t quarantineMark = 0; ///< as CrashTracker::mark()
    std::vector<TaggedLoad> load;
    QueryId oldestPendingQuery = 0; ///< as in ReportedLoad
    std::vector<TaggedNote> prompts; ///< placed lately
    std::vector<TaggedLimit> limits; ///< some of those heard lately
    std::vector<UpstreamId> leaving; ///< some that said so lately
    std::vector<GatewayEntry> sample; ///< some gateways that the sender heard lately
    std::vector<TaggedLife> lives; ///< the same of more of them, where beats do not reach all

    static constexpr std::int32_t unknownAge = -1;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, configVersion, registryRevision, evacuationRevision,
           evacuationMark, rosterRevision, ageMs, clock, quarantineMark, load, oldestPendingQuery,
           prompts, limits, leaving, sample, lives);
    }
};

/// Asks for what is newer than the asker's state.
struct NewsAsk
{
    StateVersions known;
    std::uint64_t nonce = 0; ///< the proof of the answer is bound to it

    template <class Archive> void serialize(Archive &ar) { ar(known, nonce); }
};

/// Payloads without a length ahead. Decoding gives nothing with \p reason set for other bytes.
std::string encodeBeat(const GatewayBeat &beat);
std::optional<GatewayBeat> decodeBeat(std::string_view payload, std::string *reason);
std::string encodeAsk(const NewsAsk &ask);
std::optional<NewsAsk> decodeAsk(std::string_view payload, std::string *reason);
std::string encodeNews(const StateUpdate &news);
std::optional<StateUpdate> decodeNews(std::string_view payload, std::string *reason);

} // namespace reachlead

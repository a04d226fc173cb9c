// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What gateways tell each other: small datagrams all the time, a whole state when one is behind.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/fleetsource.h>
#include <reachlead/upstreambook.h>

namespace reachlead {

/// A datagram: who lives, what it knows, and the load that it causes.
struct GatewayBeat
{
    GatewayEntry from;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< rises with each beat of an incarnation
    std::uint64_t configVersion = 0;
    std::uint64_t registryRevision = 0;
    std::int32_t ageMs = unknownAge; ///< of the state: since it was known to be current
    LoadByUpstream load;
    std::vector<PromptNote> prompts; ///< placed lately
    std::vector<GatewayEntry> sample; ///< some gateways that the sender heard lately

    static constexpr std::int32_t unknownAge = -1;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(from, incarnation, sequence, configVersion, registryRevision, ageMs, load, prompts,
           sample);
    }
};

/// Asks for what is newer than the asker's state.
struct NewsAsk
{
    std::uint64_t configVersion = 0;
    std::uint64_t registryRevision = 0;
    std::uint64_t nonce = 0; ///< the proof of the answer is bound to it

    template <class Archive> void serialize(Archive &ar)
    {
        ar(configVersion, registryRevision, nonce);
    }
};

/// Payloads without a length ahead. Decoding gives nothing with \p reason set for other bytes.
std::string encodeBeat(const GatewayBeat &beat);
std::optional<GatewayBeat> decodeBeat(std::string_view payload, std::string *reason);
std::string encodeAsk(const NewsAsk &ask);
std::optional<NewsAsk> decodeAsk(std::string_view payload, std::string *reason);
std::string encodeNews(const GatewayNews &news);
std::optional<GatewayNews> decodeNews(std::string_view payload, std::string *reason);

} // namespace reachlead

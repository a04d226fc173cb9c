// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/gatewaymessages.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include <xxhash.h>

#include "peer/payload.h"

namespace reachlead {

std::vector<CompactLoad> compactLoad(const LoadByUpstream &load)
{
    const auto bounded = [](std::uint64_t n) {
        constexpr std::uint64_t most = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(std::min(n, most));
    };
    std::vector<CompactLoad> tagged;
    for (const auto &[id, at] : load) {
        const std::uint64_t units =
            (at.prefillTokens + CompactLoad::tokensPerUnit - 1) / CompactLoad::tokensPerUnit;
        tagged.push_back(
            {upstreamHash(id), bounded(at.running), bounded(units), bounded(at.shortPrompts)});
    }
    const auto weight = [](const CompactLoad &at) {
        return std::pair(at.prefillUnits, at.running);
    };
    std::ranges::sort(tagged, std::ranges::greater(), weight);
    if (tagged.size() > maxReportedLoads)
        tagged.resize(maxReportedLoads);
    return tagged;
}

std::uint32_t vmHash(const VmName &vm)
{
    return XXH32(vm.text.data(), vm.text.size(), 0);
}

std::vector<CompactHint> compactHints(const std::vector<PromptHint> &notes)
{
    std::vector<CompactHint> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const PromptHint &note) {
        return CompactHint{upstreamHash(note.upstream), note.key};
    });
    return tagged;
}

LoadByUpstream expandLoad(const std::vector<CompactLoad> &load, const UpstreamDirectory &directory)
{
    LoadByUpstream known;
    for (const CompactLoad &at : load) {
        if (const UpstreamEntry *entry = directory.findByHash(at.upstream))
            known[entry->id] = {at.running, at.prefillUnits * CompactLoad::tokensPerUnit,
                                at.shortPrompts};
    }
    return known;
}

std::vector<PromptHint> expandHints(const std::vector<CompactHint> &notes,
                                    const UpstreamDirectory &directory)
{
    std::vector<PromptHint> known;
    for (const CompactHint &note : notes) {
        if (const UpstreamEntry *entry = directory.findByHash(note.upstream))
            known.push_back({entry->id, note.key});
    }
    return known;
}

std::vector<CompactLimit> compactLimits(const std::vector<LimitUpdate> &notes)
{
    std::vector<CompactLimit> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const LimitUpdate &note) {
        return CompactLimit{upstreamHash(note.upstream), note.limit.value_or(CompactLimit::noLimit),
                            note.timestamp};
    });
    return tagged;
}

std::vector<LimitUpdate> expandLimits(const std::vector<CompactLimit> &limits,
                                      const UpstreamDirectory &directory)
{
    std::vector<LimitUpdate> notes;
    for (const CompactLimit &it : limits) {
        const UpstreamEntry *entry = directory.findByHash(it.upstream);
        if (entry == nullptr)
            continue;
        const bool isOver = it.limit == CompactLimit::noLimit;
        notes.push_back({entry->id, isOver ? std::nullopt : std::optional(it.limit), it.timestamp});
    }
    return notes;
}

std::string encodeGatewayHeartbeat(const GatewayHeartbeat &beat)
{
    return pvt::encodePayload(beat);
}

std::optional<GatewayHeartbeat> decodeGatewayHeartbeat(std::string_view payload,
                                                       std::string *reason)
{
    return pvt::decodePayload<GatewayHeartbeat>(payload, reason);
}

std::string encodeStateQuery(const StateQuery &ask)
{
    return pvt::encodePayload(ask);
}

std::optional<StateQuery> decodeStateQuery(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<StateQuery>(payload, reason);
}

std::string encodeStateUpdate(const StateUpdate &news)
{
    return pvt::encodePayload(news.config, news.configChange, news.registry, news.evacuations,
                              news.roster);
}

std::optional<StateUpdate> decodeStateUpdate(std::string_view payload, std::string *reason)
{
    StateUpdate news;
    if (!pvt::decodeParts(payload, reason, news.config, news.configChange, news.registry,
                          news.evacuations, news.roster))
        return std::nullopt;
    return news;
}

} // namespace reachlead

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
    const auto saturate = [](std::uint64_t n) {
        constexpr std::uint64_t maxValue = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(std::min(n, maxValue));
    };
    std::vector<CompactLoad> compact;
    for (const auto &[id, entry] : load) {
        const std::uint64_t units =
            (entry.prefillTokens + CompactLoad::tokensPerUnit - 1) / CompactLoad::tokensPerUnit;
        compact.push_back({upstreamHash(id), saturate(entry.running), saturate(units),
                           saturate(entry.shortPrompts)});
    }
    const auto sortKey = [](const CompactLoad &entry) {
        return std::pair(entry.prefillUnits, entry.running);
    };
    std::ranges::sort(compact, std::ranges::greater(), sortKey);
    if (compact.size() > maxReportedLoads)
        compact.resize(maxReportedLoads);
    return compact;
}

std::uint32_t vmHash(const VmName &vm)
{
    return XXH32(vm.text.data(), vm.text.size(), 0);
}

std::vector<CompactHint> compactHints(const std::vector<PromptHint> &hints)
{
    std::vector<CompactHint> compact;
    std::ranges::transform(hints, std::back_inserter(compact), [](const PromptHint &hint) {
        return CompactHint{upstreamHash(hint.upstream), hint.key};
    });
    return compact;
}

LoadByUpstream expandLoad(const std::vector<CompactLoad> &load, const UpstreamDirectory &directory)
{
    LoadByUpstream expanded;
    for (const CompactLoad &compact : load) {
        if (const UpstreamEntry *entry = directory.findByHash(compact.upstream))
            expanded[entry->id] = {compact.running,
                                   compact.prefillUnits * CompactLoad::tokensPerUnit,
                                   compact.shortPrompts};
    }
    return expanded;
}

std::vector<PromptHint> expandHints(const std::vector<CompactHint> &hints,
                                    const UpstreamDirectory &directory)
{
    std::vector<PromptHint> expanded;
    for (const CompactHint &hint : hints) {
        if (const UpstreamEntry *entry = directory.findByHash(hint.upstream))
            expanded.push_back({entry->id, hint.key});
    }
    return expanded;
}

std::vector<CompactLimit> compactLimits(const std::vector<LimitUpdate> &updates)
{
    std::vector<CompactLimit> compact;
    std::ranges::transform(updates, std::back_inserter(compact), [](const LimitUpdate &update) {
        return CompactLimit{upstreamHash(update.upstream),
                            update.limit.value_or(CompactLimit::noLimit), update.timestamp};
    });
    return compact;
}

std::vector<LimitUpdate> expandLimits(const std::vector<CompactLimit> &limits,
                                      const UpstreamDirectory &directory)
{
    std::vector<LimitUpdate> updates;
    for (const CompactLimit &compact : limits) {
        const UpstreamEntry *entry = directory.findByHash(compact.upstream);
        if (entry == nullptr)
            continue;
        const bool hasEnded = compact.limit == CompactLimit::noLimit;
        updates.push_back(
            {entry->id, hasEnded ? std::nullopt : std::optional(compact.limit), compact.timestamp});
    }
    return updates;
}

std::vector<CompactWorkSample> compactWorkSamples(const UpstreamSpeeds::SamplesByUpstream &samples)
{
    std::vector<CompactWorkSample> compact;
    std::ranges::transform(samples, std::back_inserter(compact), [](const auto &it) {
        return CompactWorkSample{upstreamHash(it.first), it.second};
    });
    return compact;
}

UpstreamSpeeds::SamplesByUpstream expandWorkSamples(const std::vector<CompactWorkSample> &samples,
                                                    const UpstreamDirectory &directory)
{
    UpstreamSpeeds::SamplesByUpstream expanded;
    for (const CompactWorkSample &compact : samples) {
        if (const UpstreamEntry *entry = directory.findByHash(compact.upstream))
            expanded[entry->id] = compact.sample;
    }
    return expanded;
}

std::string encodeGatewayHeartbeat(const GatewayHeartbeat &heartbeat)
{
    return pvt::encodePayload(heartbeat);
}

std::optional<GatewayHeartbeat> decodeGatewayHeartbeat(std::string_view payload,
                                                       std::string *reason)
{
    return pvt::decodePayload<GatewayHeartbeat>(payload, reason);
}

std::string encodeStateQuery(const StateQuery &query)
{
    return pvt::encodePayload(query);
}

std::optional<StateQuery> decodeStateQuery(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<StateQuery>(payload, reason);
}

std::string encodeStateUpdate(const StateUpdate &update)
{
    return pvt::encodePayload(update.config, update.configChange, update.registry,
                              update.evacuations, update.roster);
}

std::optional<StateUpdate> decodeStateUpdate(std::string_view payload, std::string *reason)
{
    StateUpdate update;
    if (!pvt::decodeParts(payload, reason, update.config, update.configChange, update.registry,
                          update.evacuations, update.roster))
        return std::nullopt;
    return update;
}

} // namespace reachlead

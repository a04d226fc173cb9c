// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/gatewaymessages.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include <xxhash.h>

#include "peer/payload.h"

namespace reachlead {

std::vector<TaggedLoad> tagLoad(const LoadByUpstream &load)
{
    const auto bounded = [](std::uint64_t n) {
        constexpr std::uint64_t most = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(std::min(n, most));
    };
    std::vector<TaggedLoad> tagged;
    for (const auto &[id, at] : load) {
        const std::uint64_t units =
            (at.prefillTokens + TaggedLoad::tokensPerUnit - 1) / TaggedLoad::tokensPerUnit;
        tagged.push_back(
            {upstreamHash(id), bounded(at.running), bounded(units), bounded(at.shortPrompts)});
    }
    const auto weight = [](const TaggedLoad &at) { return std::pair(at.unread, at.running); };
    std::ranges::sort(tagged, std::ranges::greater(), weight);
    if (tagged.size() > mostLoads)
        tagged.resize(mostLoads);
    return tagged;
}

std::uint32_t vmTagOf(const VmName &vm)
{
    return XXH32(vm.text.data(), vm.text.size(), 0);
}

std::vector<TaggedNote> tagNotes(const std::vector<PromptHint> &notes)
{
    std::vector<TaggedNote> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const PromptHint &note) {
        return TaggedNote{upstreamHash(note.upstream), note.key};
    });
    return tagged;
}

LoadByUpstream untagLoad(const std::vector<TaggedLoad> &load, const UpstreamDirectory &directory)
{
    LoadByUpstream known;
    for (const TaggedLoad &at : load) {
        if (const UpstreamEntry *entry = directory.findByHash(at.upstream))
            known[entry->id] = {at.running, at.unread * TaggedLoad::tokensPerUnit, at.brief};
    }
    return known;
}

std::vector<PromptHint> untagNotes(const std::vector<TaggedNote> &notes,
                                   const UpstreamDirectory &directory)
{
    std::vector<PromptHint> known;
    for (const TaggedNote &note : notes) {
        if (const UpstreamEntry *entry = directory.findByHash(note.upstream))
            known.push_back({entry->id, note.key});
    }
    return known;
}

std::vector<TaggedLimit> tagLimits(const std::vector<LimitUpdate> &notes)
{
    std::vector<TaggedLimit> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const LimitUpdate &note) {
        return TaggedLimit{upstreamHash(note.upstream), note.limit.value_or(TaggedLimit::noLimit),
                           note.timestamp};
    });
    return tagged;
}

std::vector<LimitUpdate> untagLimits(const std::vector<TaggedLimit> &limits,
                                     const UpstreamDirectory &directory)
{
    std::vector<LimitUpdate> notes;
    for (const TaggedLimit &it : limits) {
        const UpstreamEntry *entry = directory.findByHash(it.upstream);
        if (entry == nullptr)
            continue;
        const bool isOver = it.limit == TaggedLimit::noLimit;
        notes.push_back({entry->id, isOver ? std::nullopt : std::optional(it.limit), it.stamp});
    }
    return notes;
}

std::string encodeBeat(const GatewayBeat &beat)
{
    return pvt::encodePayload(beat);
}

std::optional<GatewayBeat> decodeBeat(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<GatewayBeat>(payload, reason);
}

std::string encodeAsk(const NewsAsk &ask)
{
    return pvt::encodePayload(ask);
}

std::optional<NewsAsk> decodeAsk(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<NewsAsk>(payload, reason);
}

std::string encodeNews(const StateUpdate &news)
{
    return pvt::encodePayload(news.config, news.configChange, news.registry, news.evacuations,
                              news.roster);
}

std::optional<StateUpdate> decodeNews(std::string_view payload, std::string *reason)
{
    StateUpdate news;
    if (!pvt::decodeParts(payload, reason, news.config, news.configChange, news.registry,
                          news.evacuations, news.roster))
        return std::nullopt;
    return news;
}

} // namespace reachlead

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
            (at.unreadTokens + TaggedLoad::tokensPerUnit - 1) / TaggedLoad::tokensPerUnit;
        tagged.push_back({tagOf(id), bounded(at.running), bounded(units), bounded(at.brief)});
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

std::vector<TaggedNote> tagNotes(const std::vector<PromptNote> &notes)
{
    std::vector<TaggedNote> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const PromptNote &note) {
        return TaggedNote{tagOf(note.upstream), note.key};
    });
    return tagged;
}

LoadByUpstream untagLoad(const std::vector<TaggedLoad> &load, const UpstreamDirectory &directory)
{
    LoadByUpstream known;
    for (const TaggedLoad &at : load) {
        if (const UpstreamEntry *entry = directory.findTag(at.upstream))
            known[entry->id] = {at.running, at.unread * TaggedLoad::tokensPerUnit, at.brief};
    }
    return known;
}

std::vector<PromptNote> untagNotes(const std::vector<TaggedNote> &notes,
                                   const UpstreamDirectory &directory)
{
    std::vector<PromptNote> known;
    for (const TaggedNote &note : notes) {
        if (const UpstreamEntry *entry = directory.findTag(note.upstream))
            known.push_back({entry->id, note.key});
    }
    return known;
}

std::vector<TaggedLimit> tagLimits(const std::vector<LimitNote> &notes)
{
    std::vector<TaggedLimit> tagged;
    std::ranges::transform(notes, std::back_inserter(tagged), [](const LimitNote &note) {
        return TaggedLimit{tagOf(note.upstream), note.limit.value_or(TaggedLimit::noLimit),
                           note.stamp};
    });
    return tagged;
}

std::vector<LimitNote> untagLimits(const std::vector<TaggedLimit> &limits,
                                   const UpstreamDirectory &directory)
{
    std::vector<LimitNote> notes;
    for (const TaggedLimit &it : limits) {
        const UpstreamEntry *entry = directory.findTag(it.upstream);
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

std::string encodeNews(const GatewayNews &news)
{
    return pvt::encodePayload(news.config, news.configChange, news.registry, news.evacuations,
                              news.roster);
}

std::optional<GatewayNews> decodeNews(std::string_view payload, std::string *reason)
{
    GatewayNews news;
    if (!pvt::decodeParts(payload, reason, news.config, news.configChange, news.registry,
                          news.evacuations, news.roster))
        return std::nullopt;
    return news;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreambook.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <ranges>

#include <xxhash.h>

namespace reachlead {

namespace {

/// Sets the rank for quiet engines apart from the one for homes.
constexpr std::uint64_t quietSalt = 0x71756965; // "quie"

TokenCount tokensOf(std::span<const PromptPart> prompt)
{
    return std::transform_reduce(prompt.begin(), prompt.end(), TokenCount{0}, std::plus(),
                                 [](const PromptPart &part) { return part.tokens; });
}

/// The parts that other requests may share: all but the last.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> prompt)
{
    return prompt.empty() ? prompt : prompt.first(prompt.size() - 1);
}

/// What a finished count gives back, never below zero.
template <class T> void takeOff(T *value, T n)
{
    *value -= std::min(*value, n);
}

} // namespace

std::optional<UpstreamId> homeOf(const ChoiceAsk &ask, std::span<const UpstreamEntry *const> among)
{
    const auto shared = sharedParts(ask.prompt);
    if (shared.empty() || among.empty())
        return std::nullopt;
    const PromptPart &longest = *std::ranges::max_element(shared, {}, &PromptPart::tokens);
    const auto score = [&](const UpstreamEntry *entry) {
        return XXH64(entry->id.text.data(), entry->id.text.size(), longest.id);
    };
    return (*std::ranges::max_element(among, {}, score))->id;
}

Circuit::Settings UpstreamBook::circuitSettings()
{
    Circuit::Settings settings;
    settings.firstPause = milliseconds(500); // a crashed upstream is back after seconds at best
    settings.longestPause = seconds(4); // a recovery must be noticed within a few seconds
    return settings;
}

void UpstreamBook::keepOnly(const UpstreamDirectory &directory)
{
    std::erase_if(m_records, [&](const auto &record) {
        return directory.find(record.first) == nullptr && record.second.load.running == 0;
    });
}

UpstreamLoad UpstreamBook::totalLoad(const UpstreamId &id, Time now) const
{
    UpstreamLoad total;
    if (const auto it = m_records.find(id); it != m_records.end())
        total = it->second.load;
    for (const PeerLoad &peer : m_peers | std::views::values) {
        const auto it = peer.load.find(id);
        if (it == peer.load.end() || peer.heard + peerLoadAge < now)
            continue;
        total.running += it->second.running;
        total.unreadTokens += it->second.unreadTokens;
    }
    return total;
}

double UpstreamBook::costOf(const UpstreamEntry &entry, const ChoiceAsk &ask, bool isHome,
                            Choice *choice, Time now)
{
    Record &record = m_records[entry.id];
    const UpstreamLoad load = totalLoad(entry.id, now);
    const TokenCount shared = tokensOf(sharedParts(ask.prompt));
    const TokenCount held = record.cache.cachedTokens(ask.model, ask.prompt);
    // The home has what other gateways sent there, whether or not this one did.
    const TokenCount cached = isHome ? std::max(held, shared) : held;
    const TokenCount prompt = tokensOf(ask.prompt);
    const TokenCount unread = prompt - std::min(prompt, cached);
    const TokenCount reread = shared - std::min(shared, cached);
    choice->unreadTokens = unread;
    double cost = static_cast<double>(load.unreadTokens + unread) / m_costs.tokensPerMs;
    cost += m_costs.rereadFactor * static_cast<double>(reread) / m_costs.tokensPerMs;
    cost += m_costs.perRunning * load.running;
    if (load.running >= entry.slots)
        cost += m_costs.perQueued * (load.running - entry.slots + 1);
    if (entry.zone != m_zone)
        cost += m_costs.otherZone;
    if (!record.circuit.allows(now))
        cost += m_costs.unhealthy;
    return cost;
}

bool UpstreamBook::isShort(const ChoiceAsk &ask) const
{
    return tokensOf(ask.prompt) <= m_costs.shortPrompt;
}

/// The engines of a service that all gateways keep for short prompts: the first of a hash over
/// their ids.
std::set<UpstreamId> UpstreamBook::quietEngines(const ServiceName &service,
                                                const UpstreamDirectory &directory) const
{
    std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
    for (const UpstreamEntry &entry : directory.entries() | std::views::values) {
        if (entry.service == service && !entry.leaving)
            ranked.emplace_back(XXH64(entry.id.text.data(), entry.id.text.size(), quietSalt),
                                entry.id);
    }
    const double part = m_costs.quietPart * static_cast<double>(ranked.size());
    const auto wanted = static_cast<std::size_t>(std::lround(part));
    std::ranges::sort(ranked);
    std::set<UpstreamId> quiet;
    for (const auto &[rank, id] : ranked | std::views::take(wanted))
        quiet.insert(id);
    return quiet;
}

double UpstreamBook::quietCost(const ChoiceAsk &ask, bool isQuiet) const
{
    if (ask.prompt.empty() || isShort(ask) == isQuiet)
        return 0;
    return isQuiet ? m_costs.longInQuiet : m_costs.shortOutside;
}

std::optional<Choice> UpstreamBook::choose(const ChoiceAsk &ask, const UpstreamDirectory &directory,
                                           Time now)
{
    std::set<UpstreamId> quiet;
    if (!ask.prompt.empty())
        quiet = quietEngines(ask.service, directory);
    const bool wantsQuiet = isShort(ask) && !quiet.empty();
    std::vector<const UpstreamEntry *> usable;
    std::vector<const UpstreamEntry *> homes; // where the prompt may be at home
    for (const UpstreamEntry &entry : directory.entries() | std::views::values) {
        const bool wasTried = ask.tried != nullptr && ask.tried->contains(entry.id);
        if (entry.service != ask.service || entry.leaving || wasTried)
            continue;
        usable.push_back(&entry);
        if (quiet.contains(entry.id) == wantsQuiet)
            homes.push_back(&entry);
    }
    const std::optional<UpstreamId> home = homeOf(ask, homes.empty() ? usable : homes);
    std::optional<Choice> best;
    for (const UpstreamEntry *entry : usable) {
        Choice choice;
        choice.upstream = entry->id;
        choice.isHome = home == entry->id;
        choice.cost = costOf(*entry, ask, choice.isHome, &choice, now);
        choice.cost += quietCost(ask, quiet.contains(entry->id));
        if (!best || choice.cost < best->cost)
            best = choice;
    }
    return best;
}

void UpstreamBook::sent(const UpstreamId &id, const ChoiceAsk &ask, const Choice &choice)
{
    Record &record = m_records[id];
    ++record.load.running;
    record.load.unreadTokens += choice.unreadTokens;
    record.cache.note(ask.model, ask.prompt);
    record.circuit.sent();
}

void UpstreamBook::firstEvent(const UpstreamId &id, TokenCount unread)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        takeOff(&it->second.load.unreadTokens, unread);
}

void UpstreamBook::ended(const UpstreamId &id, TokenCount unread)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    takeOff(&it->second.load.unreadTokens, unread);
    takeOff(&it->second.load.running, std::uint32_t{1});
    it->second.circuit.abandoned();
}

void UpstreamBook::succeeded(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.succeeded();
}

void UpstreamBook::failed(const UpstreamId &id, Time now)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.failed(now);
}

void UpstreamBook::setPeerLoad(const VmName &peer, LoadByUpstream load, Time now)
{
    m_peers[peer] = PeerLoad{std::move(load), now};
}

LoadByUpstream UpstreamBook::ownLoad() const
{
    LoadByUpstream load;
    for (const auto &[id, record] : m_records) {
        if (record.load.running > 0)
            load.emplace(id, record.load);
    }
    return load;
}

} // namespace reachlead

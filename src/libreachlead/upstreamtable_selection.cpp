// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// UpstreamTable's choice of an upstream: the terms of the cost, and the baselines.

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <ranges>
#include <utility>

#include <xxhash.h>

#include <reachlead/upstreamtable.h>

namespace reachlead {

namespace {

constexpr double bitsPerByte = 8.0;
constexpr double bitsPerMsOfMbps = 1000.0; ///< a link of 1 Mbit/s carries this much in 1 ms
constexpr double tokensPerKilo = 1000.0;

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

/// The key of the last part that an engine holds which holds this many tokens of a prompt's head.
PromptKey keyOfHeld(std::span<const KeyedPart> parts, TokenCount held)
{
    TokenCount tokens = 0;
    const auto it = std::ranges::find_if(parts, [&](const KeyedPart &part) {
        tokens += part.tokens;
        return tokens >= held;
    });
    return it == parts.end() ? parts.back().key : it->key;
}

} // namespace

std::optional<UpstreamId> preferredUpstream(PromptKey key,
                                            std::span<const UpstreamEntry *const> among)
{
    if (among.empty())
        return std::nullopt;
    const auto score = [&](const UpstreamEntry *entry) {
        return XXH64(entry->id.text.data(), entry->id.text.size(), key);
    };
    return (*std::ranges::max_element(among, {}, score))->id;
}

std::span<const KeyedPart> UpstreamTable::Placement::shared() const
{
    const std::span<const KeyedPart> all(parts);
    return all.empty() ? all : all.first(all.size() - 1);
}

UpstreamTable::Placement UpstreamTable::placementOf(const SelectionQuery &ask)
{
    Placement placement;
    placement.parts = keyParts(ask.model, ask.prompt);
    placement.tokens = tokensOf(ask.prompt);
    placement.sharedTokens = tokensOf(sharedParts(ask.prompt));
    return placement;
}

double UpstreamTable::fetchCost(TokenCount tokens, const ServiceInfo &info) const
{
    const auto n = static_cast<double>(tokens);
    const double bits = n * bitsPerByte * static_cast<double>(info.engineTokenBytes);
    const double wireMs = bits / (info.engineLinkMbps * bitsPerMsOfMbps);
    return m_costs.fetchSetup + wireMs + m_costs.fetchPerKiloToken * n / tokensPerKilo;
}

/// The cost of what the engine has to read or fetch of the prompt; sets the choice's part of it.
///
/// While nobody is known to hold all shared parts, they are placed as if they lay at their home, so
/// that all gateways send them there; the load counts them as what they are, parts to be read.
/// Were the first parts alone to draw a prompt, engines that never got one would stay idle: of 55
/// engines 13 read no long prompt in 34 s, and 687 of 2,861 long prompts had their first event
/// later than 0.6 s where now 157 of 2,879 have.
double UpstreamTable::readingCost(const Candidate &candidate, const SelectionQuery &ask,
                                  const Placement &placement, Selection *choice) const
{
    const double readMs = 1.0 / m_costs.tokensPerMs;
    const TokenCount mostHeld = placement.isCold ? placement.sharedTokens : placement.mostHeld;
    const TokenCount held = placement.isCold && choice->isPreferred
        ? std::max(candidate.held, placement.sharedTokens)
        : candidate.held;
    const TokenCount again = mostHeld - std::min(mostHeld, held);
    const TokenCount unread = placement.tokens - std::min(placement.tokens, held);
    choice->prefillTokens = placement.tokens - std::min(placement.tokens, candidate.held);
    double cost = readMs * static_cast<double>(unread);
    cost += m_costs.recomputeFactor * readMs * static_cast<double>(again);
    const bool canFetch =
        placement.source != nullptr && ask.serviceInfo != nullptr && ask.serviceInfo->canFetch();
    const TokenCount fetched = placement.mostHeld - std::min(placement.mostHeld, candidate.held);
    if (!canFetch || fetched == 0)
        return cost;
    const double read = (1.0 + m_costs.recomputeFactor) * readMs * static_cast<double>(fetched);
    const double saved = read - fetchCost(fetched, *ask.serviceInfo);
    if (saved <= 0)
        return cost;
    choice->prefillTokens -= fetched;
    choice->fetchFrom = placement.source->entry->id;
    return again == 0 ? cost : cost - saved;
}

/// What it costs to be behind the work that an upstream has.
double UpstreamTable::loadCost(const SelectionQuery &ask, const UpstreamEntry &entry,
                               const UpstreamLoad &load, bool isHealthy) const
{
    double cost = static_cast<double>(load.prefillTokens) / m_costs.tokensPerMs;
    cost += m_costs.perRunningRequest * load.running;
    if (load.running >= entry.slots)
        cost += m_costs.perQueuedRequest * (load.running - entry.slots + 1);
    if (entry.zone != zoneOf(ask))
        cost += m_costs.crossZone;
    if (ask.group != nullptr && !ask.group->contains(entry.id))
        cost += m_costs.crossGroup;
    if (!isHealthy)
        cost += m_costs.unhealthy;
    return cost;
}

const ZoneName &UpstreamTable::zoneOf(const SelectionQuery &ask) const
{
    return ask.zone != nullptr ? *ask.zone : m_zone;
}

bool UpstreamTable::isShort(const SelectionQuery &ask) const
{
    return tokensOf(ask.prompt) <= m_costs.maxShortPromptTokens;
}

/// What is asked of each service's engines, by all gateways that were heard.
std::map<ServiceName, DedicatedEngines::Demand>
UpstreamTable::demand(const UpstreamDirectory &directory) const
{
    std::map<ServiceName, DedicatedEngines::Demand> demand;
    const auto add = [&](const UpstreamId &id, const UpstreamLoad &load) {
        const UpstreamEntry *entry = directory.find(id);
        if (entry == nullptr)
            return;
        DedicatedEngines::Demand &of = demand[entry->service];
        of.brief += load.shortPrompts;
        if (!m_quiet.isQuiet(entry->service, id))
            of.backlog += static_cast<double>(load.prefillTokens) / m_costs.tokensPerMs;
    };
    for (const auto &[id, record] : m_records)
        add(id, record.load);
    for (const auto &[id, total] : m_peerTotals)
        add(id, total);
    return demand;
}

double UpstreamTable::quietCost(const SelectionQuery &ask, bool isQuiet) const
{
    if (ask.prompt.empty() || isShort(ask) == isQuiet)
        return 0;
    return isQuiet ? m_costs.longInDedicated : m_costs.shortOutsideDedicated;
}

std::vector<UpstreamTable::Candidate> UpstreamTable::candidates(const SelectionQuery &ask,
                                                                const Placement &placement,
                                                                const UpstreamDirectory &directory,
                                                                Time now)
{
    static const std::set<UpstreamId> none;
    dropOldPeers(now);
    if (m_quiet.isDue(now))
        m_quiet.setDemand(demand(directory), now);
    const std::set<UpstreamId> &quiet =
        ask.prompt.empty() ? none : m_quiet.of(ask.service, directory, now);
    std::vector<Candidate> all;
    for (const UpstreamEntry *entry : directory.usableUpstreams(ask.service)) {
        if (!isEligible(ask, *entry) || isBackedOff(ask, entry->id, now))
            continue;
        Record &record = m_records[entry->id];
        if (isTooCold(ask, *entry, &record, now) || isOverLimit(ask, entry->id, record, now))
            continue;
        Candidate candidate;
        candidate.entry = entry;
        candidate.isHealthy = !isFailing(&record, now);
        candidate.isQuiet = quiet.contains(entry->id);
        candidate.held = record.cache.cachedTokens(placement.parts);
        candidate.heldShared = record.cache.cachedTokens(placement.shared());
        const UpstreamLoad load = knownLoad(entry->id);
        candidate.load = load;
        candidate.loadCost = loadCost(ask, *entry, load, candidate.isHealthy);
        all.push_back(candidate);
    }
    return all;
}

/// The home is among the healthy engines of the prompt's kind and the chooser's group, if there are
/// any: a home outside the group would be known to another chooser only.
void UpstreamTable::findHome(const SelectionQuery &ask, const std::vector<Candidate> &among,
                             Placement *placement) const
{
    if (sharedParts(ask.prompt).empty())
        return;
    const auto isOurs = [&](const Candidate &candidate) {
        return ask.group == nullptr || ask.group->contains(candidate.entry->id);
    };
    const bool wantsQuiet = isShort(ask)
        && std::ranges::any_of(among, [&](const auto &it) { return it.isQuiet && isOurs(it); });
    std::vector<const UpstreamEntry *> near;
    std::vector<const UpstreamEntry *> fit;
    std::vector<const UpstreamEntry *> any;
    for (const Candidate &candidate : among) {
        any.push_back(candidate.entry);
        if (!candidate.isHealthy || candidate.isQuiet != wantsQuiet || !isOurs(candidate))
            continue;
        fit.push_back(candidate.entry);
        if (wantsQuiet && candidate.entry->zone == zoneOf(ask))
            near.push_back(candidate.entry);
    }
    const PromptKey last = placement->shared().back().key;
    if (!near.empty())
        placement->home = preferredUpstream(last, near);
    else
        placement->home = preferredUpstream(last, fit.empty() ? any : fit);
}

/// The least loaded of the engines that hold most of the shared parts, and have read them by now.
void UpstreamTable::findSource(const SelectionQuery &ask, const std::vector<Candidate> &among,
                               Time now, Placement *placement) const
{
    // Reading a short prompt's shared part again costs less than sending it to another zone.
    const bool staysInZone = isShort(ask);
    for (const Candidate &candidate : among) {
        const bool counts = !staysInZone || candidate.entry->zone == zoneOf(ask);
        if (candidate.isHealthy && counts)
            placement->mostHeld = std::max(placement->mostHeld, candidate.heldShared);
    }
    placement->isCold = placement->mostHeld < placement->sharedTokens;
    if (placement->mostHeld == 0)
        return;
    const PromptKey last = keyOfHeld(placement->shared(), placement->mostHeld);
    for (const Candidate &candidate : among) {
        if (!candidate.isHealthy || candidate.heldShared < placement->mostHeld)
            continue;
        const auto readyAt = m_records.at(candidate.entry->id).cache.readyAt(last);
        const bool isRead = readyAt && *readyAt < now;
        const Candidate *best = placement->source;
        if (isRead && (best == nullptr || candidate.loadCost < best->loadCost))
            placement->source = &candidate;
    }
}

/// What the streams of short prompts at an engine lose by one more prompt: an event holds some
/// tokens, a step each, and a step with a chunk of reading takes many times as long as one without.
/// As long as a chunk or two are to be read the pause stays in its bound; a longer run of chunks
/// makes all streams of the engine late at once. Of 2,313 short calls on days without trouble 28
/// were late with this term, 112 without it.
double UpstreamTable::pauseCost(const Candidate &candidate, TokenCount unread) const
{
    const auto bearable = static_cast<double>(m_costs.maxShortPromptTokens);
    const auto backlog = static_cast<double>(candidate.load.prefillTokens + unread);
    const double beyond = std::clamp((backlog - bearable) / bearable, 0.0, 1.0);
    return m_costs.perStalledStream * candidate.load.shortPrompts * beyond;
}

double UpstreamTable::costByCost(const Candidate &candidate, const SelectionQuery &ask,
                                 const Placement &placement, Selection *choice) const
{
    double cost = candidate.loadCost + quietCost(ask, candidate.isQuiet);
    cost += readingCost(candidate, ask, placement, choice);
    return ask.prompt.empty() ? cost : cost + pauseCost(candidate, choice->prefillTokens);
}

double UpstreamTable::costHomeOnly(const Candidate &candidate, const SelectionQuery &ask,
                                   const Placement &placement, Selection *choice) const
{
    if (placement.home)
        return choice->isPreferred ? 0 : m_costs.unhealthy;
    return costLeastLoaded(candidate, ask, placement, choice);
}

double UpstreamTable::costLeastLoaded(const Candidate &candidate, const SelectionQuery &ask,
                                      const Placement & /*placement*/, Selection * /*choice*/) const
{
    constexpr double zoneTie = 0.5; // less than one request
    const double load =
        candidate.load.running + (candidate.entry->zone == zoneOf(ask) ? 0 : zoneTie);
    return load + (candidate.isHealthy ? 0 : m_costs.unhealthy);
}

double UpstreamTable::costRoundRobin(const Candidate &candidate, const SelectionQuery & /*ask*/,
                                     const Placement & /*placement*/, Selection * /*choice*/) const
{
    const std::uint64_t turn = m_records.at(candidate.entry->id).lastTurn;
    // Turns count up without end, so what is out of order is put behind all of them.
    return static_cast<double>(turn) + (candidate.isHealthy ? 0 : static_cast<double>(m_turns) + 1);
}

std::optional<Selection> UpstreamTable::select(const SelectionQuery &ask,
                                               const UpstreamDirectory &directory, Time now)
{
    Placement placement = placementOf(ask);
    const std::vector<Candidate> all = candidates(ask, placement, directory, now);
    findHome(ask, all, &placement);
    findSource(ask, all, now, &placement);
    constexpr std::array<CostOf, 4> costs{&UpstreamTable::costByCost, &UpstreamTable::costHomeOnly,
                                          &UpstreamTable::costLeastLoaded,
                                          &UpstreamTable::costRoundRobin};
    const CostOf costOf = costs[static_cast<std::size_t>(m_costs.strategy)];
    const ServiceRate &pace = serviceRate(ask.service);
    std::optional<Selection> best;
    std::optional<Duration> minQueueWait;
    for (const Candidate &candidate : all) {
        Selection choice;
        choice.upstream = candidate.entry->id;
        choice.isPreferred = placement.home == candidate.entry->id;
        choice.isShortPrompt = !ask.prompt.empty() && isShort(ask);
        choice.cost = (this->*costOf)(candidate, ask, placement, &choice);
        choice.tokensToFirstEvent = candidate.load.prefillTokens + choice.prefillTokens;
        const Duration wait = pace.waitFor(candidate.load.prefillTokens, candidate.load.running,
                                           candidate.entry->slots, 0);
        if (candidate.isHealthy && (!minQueueWait || wait < *minQueueWait))
            minQueueWait = wait;
        if (!best || choice.cost < best->cost)
            best = choice;
    }
    if (best) {
        best->minQueueWait = minQueueWait.value_or(Duration{});
        best->coldSpacing = coldSpacing(ask, best->upstream);
    }
    return best;
}

} // namespace reachlead

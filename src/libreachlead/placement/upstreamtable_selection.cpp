// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// UpstreamTable's selection of an upstream: the cost terms, and the baselines.

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <ranges>
#include <utility>

#include <xxhash.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

namespace {

constexpr double bitsPerByte = 8.0;
constexpr double bitsPerMsOfMbps = 1000.0; ///< bits that a 1 Mbit/s link transfers in 1 ms
constexpr double tokensPerKilo = 1000.0;

TokenCount tokenCount(std::span<const PromptPart> prompt)
{
    return std::transform_reduce(prompt.begin(), prompt.end(), TokenCount{0}, std::plus(),
                                 [](const PromptPart &part) { return part.tokens; });
}

/// The parts that other requests may share: all but the last.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> prompt)
{
    return prompt.empty() ? prompt : prompt.first(prompt.size() - 1);
}

/// The key of the part at which the first \p offset tokens of a prompt end.
PromptKey keyAtOffset(std::span<const KeyedPart> parts, TokenCount offset)
{
    TokenCount tokens = 0;
    const auto it = std::ranges::find_if(parts, [&](const KeyedPart &part) {
        tokens += part.tokens;
        return tokens >= offset;
    });
    return it == parts.end() ? parts.back().key : it->key;
}

} // namespace

std::optional<UpstreamId> preferredUpstream(PromptKey key,
                                            std::span<const UpstreamEntry *const> candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const auto score = [&](const UpstreamEntry *entry) {
        return XXH64(entry->id.text.data(), entry->id.text.size(), key);
    };
    return (*std::ranges::max_element(candidates, {}, score))->id;
}

std::span<const KeyedPart> UpstreamTable::PromptLocation::shared() const
{
    const std::span<const KeyedPart> all(parts);
    return all.empty() ? all : all.first(all.size() - 1);
}

UpstreamTable::PromptLocation UpstreamTable::locatePrompt(const SelectionQuery &query)
{
    PromptLocation location;
    location.parts = keyParts(query.model, query.prompt);
    location.tokens = tokenCount(query.prompt);
    location.sharedTokens = tokenCount(sharedParts(query.prompt));
    return location;
}

double UpstreamTable::fetchCost(TokenCount tokens, const ServiceInfo &info) const
{
    const auto n = static_cast<double>(tokens);
    const double bits = n * bitsPerByte * static_cast<double>(info.engineTokenBytes);
    const double transferMs = bits / (info.engineLinkMbps * bitsPerMsOfMbps);
    return m_costs.fetchSetup + transferMs + m_costs.fetchPerKiloToken * n / tokensPerKilo;
}

/// The cost of the part of the prompt that the engine has to prefill or fetch; sets the
/// corresponding fields of the selection.
///
/// While no upstream is known to have all shared parts cached, their cost is computed as if the
/// preferred upstream had them, so that all gateways send them there; the load still counts them as
/// tokens to be prefilled. If the first parts alone attracted a prompt, engines that never got one
/// would stay idle: of 55 engines 13 prefilled no long prompt in 34 s, and 687 of 2,861 long
/// prompts had their first event later than 0.6 s, against 157 of 2,879 with this rule.
double UpstreamTable::prefillCost(const Candidate &candidate, const SelectionQuery &query,
                                  const PromptLocation &location, Selection *selection) const
{
    const double msPerToken = 1.0 / m_costs.tokensPerMs;
    const TokenCount maxCachedShared =
        location.isCold ? location.sharedTokens : location.maxCachedShared;
    const TokenCount cached = location.isCold && selection->isPreferred
        ? std::max(candidate.cachedTokens, location.sharedTokens)
        : candidate.cachedTokens;
    const TokenCount recomputed = maxCachedShared - std::min(maxCachedShared, cached);
    const TokenCount prefillTokens = location.tokens - std::min(location.tokens, cached);
    selection->prefillTokens = location.tokens - std::min(location.tokens, candidate.cachedTokens);
    double cost = msPerToken * static_cast<double>(prefillTokens) / candidate.speed;
    cost += m_costs.recomputeFactor * msPerToken * static_cast<double>(recomputed);
    const bool canFetch =
        location.source != nullptr && query.serviceInfo != nullptr && query.serviceInfo->canFetch();
    const TokenCount fetched =
        location.maxCachedShared - std::min(location.maxCachedShared, candidate.cachedTokens);
    if (!canFetch || fetched == 0)
        return cost;
    const double prefill =
        (1.0 + m_costs.recomputeFactor) * msPerToken * static_cast<double>(fetched);
    const double saving = prefill - fetchCost(fetched, *query.serviceInfo);
    if (saving <= 0)
        return cost;
    selection->prefillTokens -= fetched;
    selection->fetchFrom = location.source->entry->id;
    return recomputed == 0 ? cost : cost - saving;
}

/// The cost of queueing behind the load of an upstream.
double UpstreamTable::loadCost(const SelectionQuery &query, const Candidate &candidate) const
{
    const UpstreamEntry &entry = *candidate.entry;
    const UpstreamLoad &load = candidate.load;
    double cost = static_cast<double>(load.prefillTokens) / m_costs.tokensPerMs;
    cost += m_costs.perRunningRequest * load.running;
    if (load.running >= entry.slots)
        cost += m_costs.perQueuedRequest * (load.running - entry.slots + 1);
    cost /= candidate.speed;
    if (query.prompt.empty()) // the call itself takes longer on a slow upstream
        cost += m_costs.perQueuedRequest * (1.0 / candidate.speed - 1.0);
    if (entry.zone != callerZone(query))
        cost += m_costs.crossZone;
    if (query.group != nullptr && !query.group->contains(entry.id))
        cost += m_costs.crossGroup;
    if (!candidate.isHealthy)
        cost += m_costs.unhealthy;
    return cost;
}

const ZoneName &UpstreamTable::callerZone(const SelectionQuery &query) const
{
    return query.zone != nullptr ? *query.zone : m_zone;
}

bool UpstreamTable::isShortPrompt(const SelectionQuery &query) const
{
    return tokenCount(query.prompt) <= m_costs.maxShortPromptTokens;
}

/// Demand per service, from all known gateways.
std::map<ServiceName, DedicatedEngines::Demand>
UpstreamTable::demand(const UpstreamDirectory &directory) const
{
    std::map<ServiceName, DedicatedEngines::Demand> demand;
    const auto add = [&](const UpstreamId &id, const UpstreamLoad &load) {
        const UpstreamEntry *entry = directory.find(id);
        if (entry == nullptr)
            return;
        DedicatedEngines::Demand &service = demand[entry->service];
        service.shortStreams += load.shortPrompts;
        if (!m_dedicated.isDedicated(entry->service, id))
            service.prefillBacklogMs +=
                static_cast<double>(load.prefillTokens) / m_costs.tokensPerMs;
    };
    for (const auto &[id, record] : m_records)
        add(id, record.load);
    for (const auto &[id, total] : m_peerTotals)
        add(id, total);
    return demand;
}

double UpstreamTable::dedicationCost(const SelectionQuery &query, bool isDedicated) const
{
    if (query.prompt.empty() || isShortPrompt(query) == isDedicated)
        return 0;
    return isDedicated ? m_costs.longInDedicated : m_costs.shortOutsideDedicated;
}

std::vector<UpstreamTable::Candidate> UpstreamTable::candidates(const SelectionQuery &query,
                                                                const PromptLocation &location,
                                                                const UpstreamDirectory &directory,
                                                                Time now)
{
    static const std::set<UpstreamId> none;
    dropExpiredPeers(now);
    if (m_dedicated.isDue(now))
        m_dedicated.setDemand(demand(directory), now);
    const std::set<UpstreamId> &dedicated =
        query.prompt.empty() ? none : m_dedicated.engines(query.service, directory, now);
    std::vector<Candidate> all;
    for (const UpstreamEntry *entry : directory.usableUpstreams(query.service)) {
        if (!isEligible(query, *entry) || isBackedOff(query, entry->id, now))
            continue;
        Record &record = m_records[entry->id];
        if (isColdLimited(query, *entry, &record, now)
            || isRateLimited(query, entry->id, record, now))
            continue;
        Candidate candidate;
        candidate.entry = entry;
        candidate.isHealthy = !isFailing(&record, now);
        candidate.isDedicated = dedicated.contains(entry->id);
        candidate.cachedTokens = record.cache.cachedTokens(location.parts);
        candidate.cachedShared = record.cache.cachedTokens(location.shared());
        candidate.load = knownLoad(entry->id);
        candidate.speed = m_speeds.speed(query.service, entry->id, now);
        candidate.loadCost = loadCost(query, candidate);
        all.push_back(candidate);
    }
    return all;
}

/// The preferred upstream is one of the healthy engines of the prompt's kind in the selector's
/// group, if there are any: one outside the group would be known to another selector only.
void UpstreamTable::findPreferred(const SelectionQuery &query,
                                  const std::vector<Candidate> &candidates,
                                  PromptLocation *location) const
{
    if (sharedParts(query.prompt).empty())
        return;
    const auto isInQueryGroup = [&](const Candidate &candidate) {
        return query.group == nullptr || query.group->contains(candidate.entry->id);
    };
    const bool wantsDedicated =
        isShortPrompt(query) && std::ranges::any_of(candidates, [&](const auto &it) {
            return it.isDedicated && isInQueryGroup(it);
        });
    std::vector<const UpstreamEntry *> inZone;
    std::vector<const UpstreamEntry *> eligible;
    std::vector<const UpstreamEntry *> all;
    for (const Candidate &candidate : candidates) {
        all.push_back(candidate.entry);
        if (!candidate.isHealthy || candidate.isDedicated != wantsDedicated
            || !isInQueryGroup(candidate))
            continue;
        eligible.push_back(candidate.entry);
        if (wantsDedicated && candidate.entry->zone == callerZone(query))
            inZone.push_back(candidate.entry);
    }
    const PromptKey last = location->shared().back().key;
    if (!inZone.empty())
        location->preferred = preferredUpstream(last, inZone);
    else
        location->preferred = preferredUpstream(last, eligible.empty() ? all : eligible);
}

/// The least loaded of the engines that have most of the shared parts cached, and prefilled by now.
void UpstreamTable::findSource(const SelectionQuery &query,
                               const std::vector<Candidate> &candidates, Time now,
                               PromptLocation *location) const
{
    // Prefilling the shared part of a short prompt again costs less than a transfer between zones.
    const bool staysInZone = isShortPrompt(query);
    for (const Candidate &candidate : candidates) {
        const bool counts = !staysInZone || candidate.entry->zone == callerZone(query);
        if (candidate.isHealthy && counts)
            location->maxCachedShared = std::max(location->maxCachedShared, candidate.cachedShared);
    }
    location->isCold = location->maxCachedShared < location->sharedTokens;
    if (location->maxCachedShared == 0)
        return;
    const PromptKey last = keyAtOffset(location->shared(), location->maxCachedShared);
    for (const Candidate &candidate : candidates) {
        if (!candidate.isHealthy || candidate.cachedShared < location->maxCachedShared)
            continue;
        const auto readyAt = m_records.at(candidate.entry->id).cache.readyAt(last);
        const bool isRead = readyAt && *readyAt < now;
        const Candidate *best = location->source;
        if (isRead && (best == nullptr || candidate.loadCost < best->loadCost))
            location->source = &candidate;
    }
}

/// The cost of one more prompt for the short-prompt streams of an engine. An event carries a few
/// tokens, one step each, and a step with a prefill chunk takes many times as long as one without.
/// With one or two chunks to prefill the token gap stays within its bound; a longer run of chunks
/// makes all streams of the engine late at once. On days without faults, 28 of 2,313 short calls
/// were late with this term, and 112 without it.
double UpstreamTable::stallCost(const Candidate &candidate, TokenCount prefillTokens) const
{
    const auto maxBacklog = static_cast<double>(m_costs.maxShortPromptTokens);
    const auto backlog = static_cast<double>(candidate.load.prefillTokens + prefillTokens);
    const double excess = std::clamp((backlog - maxBacklog) / maxBacklog, 0.0, 1.0);
    return m_costs.perStalledStream * candidate.load.shortPrompts * excess;
}

double UpstreamTable::costByCost(const Candidate &candidate, const SelectionQuery &query,
                                 const PromptLocation &location, Selection *selection) const
{
    double cost = candidate.loadCost + dedicationCost(query, candidate.isDedicated);
    cost += prefillCost(candidate, query, location, selection);
    return query.prompt.empty() ? cost : cost + stallCost(candidate, selection->prefillTokens);
}

double UpstreamTable::costAffinityOnly(const Candidate &candidate, const SelectionQuery &query,
                                       const PromptLocation &location, Selection *selection) const
{
    if (location.preferred)
        return selection->isPreferred ? 0 : m_costs.unhealthy;
    return costLeastLoaded(candidate, query, location, selection);
}

double UpstreamTable::costLeastLoaded(const Candidate &candidate, const SelectionQuery &query,
                                      const PromptLocation & /*location*/,
                                      Selection * /*selection*/) const
{
    constexpr double zoneTie = 0.5; // less than one request
    const double load =
        candidate.load.running + (candidate.entry->zone == callerZone(query) ? 0 : zoneTie);
    return load + (candidate.isHealthy ? 0 : m_costs.unhealthy);
}

double UpstreamTable::costRoundRobin(const Candidate &candidate, const SelectionQuery & /*query*/,
                                     const PromptLocation & /*location*/,
                                     Selection * /*selection*/) const
{
    const std::uint64_t turn = m_records.at(candidate.entry->id).lastTurn;
    // Turns increase without bound, so unhealthy upstreams are sorted behind all of them.
    return static_cast<double>(turn) + (candidate.isHealthy ? 0 : static_cast<double>(m_turns) + 1);
}

std::optional<Selection> UpstreamTable::select(const SelectionQuery &query,
                                               const UpstreamDirectory &directory, Time now)
{
    PromptLocation location = locatePrompt(query);
    const std::vector<Candidate> all = candidates(query, location, directory, now);
    findPreferred(query, all, &location);
    findSource(query, all, now, &location);
    constexpr std::array<CostFunction, 4> functions{
        &UpstreamTable::costByCost, &UpstreamTable::costAffinityOnly,
        &UpstreamTable::costLeastLoaded, &UpstreamTable::costRoundRobin};
    const CostFunction cost = functions[static_cast<std::size_t>(m_costs.strategy)];
    const ServiceRate &rate = serviceRate(query.service);
    std::optional<Selection> best;
    std::optional<Duration> minQueueWait;
    for (const Candidate &candidate : all) {
        Selection selection;
        selection.upstream = candidate.entry->id;
        selection.isPreferred = location.preferred == candidate.entry->id;
        selection.isShortPrompt = !query.prompt.empty() && isShortPrompt(query);
        selection.cost = (this->*cost)(candidate, query, location, &selection);
        selection.tokensToFirstEvent = candidate.load.prefillTokens + selection.prefillTokens;
        const std::optional<double> ownRate =
            m_speeds.workPerMs(query.service, candidate.entry->id, now);
        const Duration wait = rate.predictWait(candidate.load.prefillTokens, candidate.load.running,
                                               candidate.entry->slots, 0, ownRate);
        if (candidate.isHealthy && (!minQueueWait || wait < *minQueueWait))
            minQueueWait = wait;
        if (query.requiresRoom
            && !m_costs.room.canBegin(wait, candidate.load.running, candidate.entry->slots))
            continue;
        selection.queueWait = wait;
        if (!best || selection.cost < best->cost)
            best = selection;
    }
    if (best) {
        best->minQueueWait = minQueueWait.value_or(Duration{});
        best->coldSpacing = coldSpacing(query, best->upstream);
    }
    return best;
}

} // namespace reachlead

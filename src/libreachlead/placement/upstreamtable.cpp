// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/upstreamtable.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace reachlead {

namespace {

/// Share of a cold upstream's rate for the gateway that places calls for the whole fleet. With two
/// gateways in that role and all others selecting on their own, any second stays below twice the
/// rate.
constexpr double schedulerShare = 0.8;

/// An upstream that announces a lower limit still gets a call every ten seconds, because only an
/// answer shows that its limit has ended.
constexpr CallRate minLimit{100};

/// Subtracts with saturation at zero.
template <class T> void subtract(T *value, T n)
{
    *value -= std::min(*value, n);
}

} // namespace

Circuit::Settings UpstreamTable::circuitSettings()
{
    Circuit::Settings settings;
    // a crashed upstream needs seconds at best to come back
    settings.initialOpenDuration = milliseconds(500);
    settings.maxOpenDuration = seconds(4); // a recovery must be noticed within a few seconds
    return settings;
}

void UpstreamTable::removeUnlisted(const UpstreamDirectory &directory)
{
    std::erase_if(m_records, [&](const auto &record) {
        return directory.find(record.first) == nullptr && record.second.load.running == 0;
    });
    m_speeds.removeUnlisted(directory);
}

void UpstreamTable::addPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    UpstreamLoad &total = m_peerTotals[id];
    total.running += load.running;
    total.prefillTokens += load.prefillTokens;
    total.shortPrompts += load.shortPrompts;
}

void UpstreamTable::subtractPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    const auto it = m_peerTotals.find(id);
    if (it == m_peerTotals.end())
        return;
    subtract(&it->second.running, load.running);
    subtract(&it->second.prefillTokens, load.prefillTokens);
    subtract(&it->second.shortPrompts, load.shortPrompts);
    if (it->second.running == 0)
        m_peerTotals.erase(it);
}

void UpstreamTable::replacePeerLoad(PeerLoad *peer, LoadByUpstream load)
{
    for (const auto &[id, at] : peer->load)
        subtractPeerLoad(id, at);
    peer->load = std::move(load);
    for (const auto &[id, at] : peer->load)
        addPeerLoad(id, at);
}

/// Drops pending placements of queries before \p oldestPendingQuery, and those older than
/// pendingPlacementTimeout.
void UpstreamTable::dropPendingPlacements(PeerLoad *peer, QueryId oldestPendingQuery, Time now)
{
    std::erase_if(peer->pending, [&](const PendingPlacement &it) {
        const bool isObsolete =
            it.queryId < oldestPendingQuery || it.at + pendingPlacementTimeout < now;
        if (isObsolete)
            subtractPeerLoad(it.upstream, it.load);
        return isObsolete;
    });
}

void UpstreamTable::dropExpiredPeers(Time now)
{
    const auto isOld = [&](const PeerLoad &peer) { return peer.validUntil < now; };
    for (PeerLoad &peer : m_peers | std::views::values | std::views::filter(isOld)) {
        replacePeerLoad(&peer, {});
        dropPendingPlacements(&peer, std::numeric_limits<QueryId>::max(), now);
    }
    std::erase_if(m_peers, [&](const auto &peer) { return isOld(peer.second); });
}

UpstreamLoad UpstreamTable::load(const UpstreamId &id, Time now)
{
    dropExpiredPeers(now);
    return knownLoad(id);
}

/// As load(), but without dropping expired loads, which visits every peer.
UpstreamLoad UpstreamTable::knownLoad(const UpstreamId &id) const
{
    UpstreamLoad total;
    if (const auto it = m_records.find(id); it != m_records.end())
        total = it->second.load;
    if (const auto it = m_peerTotals.find(id); it != m_peerTotals.end()) {
        total.running += it->second.running;
        total.prefillTokens += it->second.prefillTokens;
        total.shortPrompts += it->second.shortPrompts;
    }
    return total;
}

void UpstreamTable::sent(const UpstreamId &id, const SelectionQuery &query,
                         const Selection &selection, Time now)
{
    Record &record = m_records[id];
    record.lastTurn = ++m_turns;
    ++record.load.running;
    record.load.prefillTokens += selection.prefillTokens;
    record.load.shortPrompts += selection.isShortPrompt ? 1 : 0;
    m_unreportedTokens += selection.prefillTokens;
    recordParts(&record, query, selection, now, true);
    record.circuit.sent();
    record.cold.sent(now, selection.coldSpacing);
    record.limit.sent(now);
}

/// Records the parts of a prompt as cached; if \p isReported, new ones are sent to other gateways.
void UpstreamTable::recordParts(Record *record, const SelectionQuery &query,
                                const Selection &selection, Time now, bool isReported)
{
    const Time readyAt =
        now + prefillTime(query.service, selection.upstream, selection.tokensToFirstEvent, now);
    const PromptLocation location = locatePrompt(query);
    for (const KeyedPart &part : location.shared()) {
        if (record->cache.insert(part.key, readyAt) && isReported)
            m_recentHints.push_back({{selection.upstream, part.key}, now});
    }
    if (!location.parts.empty())
        record->cache.insert(location.parts.back().key, readyAt);
}

/// The time an engine needs to prefill this much, queue included.
Duration UpstreamTable::prefillTime(const ServiceName &service, const UpstreamId &id,
                                    TokenCount tokensToFirstEvent, Time now)
{
    return serviceRate(service).predictWait(tokensToFirstEvent, 0, 0, 0,
                                            m_speeds.workPerMs(service, id, now));
}

void UpstreamTable::addPendingPlacement(const VmName &peer, QueryId queryId,
                                        const SelectionQuery &query, const Selection &selection,
                                        Time now)
{
    if (!m_costs.usesPeerLoads)
        return;
    dropExpiredPeers(now);
    Record &record = m_records[selection.upstream];
    record.lastTurn = ++m_turns;
    recordParts(&record, query, selection, now, false);
    record.cold.sent(now, selection.coldSpacing);
    record.limit.sent(now);
    PeerLoad &known = m_peers[peer];
    known.validUntil = std::max(known.validUntil, now + peerLoadLifetime);
    const UpstreamLoad load{1, selection.prefillTokens, selection.isShortPrompt ? 1U : 0U};
    known.pending.push_back({queryId, selection.upstream, load, now});
    addPeerLoad(selection.upstream, load);
}

const ServiceRate &UpstreamTable::serviceRate(const ServiceName &service)
{
    return m_rates.try_emplace(service, m_costs.tokensPerMs).first->second;
}

void UpstreamTable::addRateSample(const ServiceName &service, const RateSample &sample)
{
    m_rates.try_emplace(service, m_costs.tokensPerMs).first->second.addSample(sample);
}

void UpstreamTable::recordPrefill(const ServiceName &service, const UpstreamId &id,
                                  TokenCount tokensToFirstEvent, Duration duration, Time now)
{
    if (tokensToFirstEvent < ServiceRate::minSampleTokens)
        return;
    const RateSample sample{tokensToFirstEvent, static_cast<std::uint32_t>(toMillis(duration)), 0,
                            0};
    addRateSample(service, sample);
    m_unreportedSamples[service] += sample;
    m_speeds.observe(service, id,
                     {static_cast<std::uint32_t>(tokensToFirstEvent), sample.prefillMs}, now);
}

void UpstreamTable::recordPlainCall(const ServiceName &service, const UpstreamId &id,
                                    Duration duration, Time now)
{
    m_speeds.observe(service, id, {1, static_cast<std::uint32_t>(toMillis(duration))}, now);
}

void UpstreamTable::recordCallDuration(const ServiceName &service, Duration duration)
{
    const RateSample sample{0, 0, 1, static_cast<std::uint32_t>(toMillis(duration))};
    addRateSample(service, sample);
    m_unreportedSamples[service] += sample;
}

RateSample UpstreamTable::takeRateSample(const ServiceName &service)
{
    return std::exchange(m_unreportedSamples[service], RateSample());
}

std::vector<PromptHint> UpstreamTable::recentHints(Time now, Duration window)
{
    while (!m_recentHints.empty()
           && (m_recentHints.front().at + window < now || m_recentHints.size() > maxHints))
        m_recentHints.pop_front();
    std::vector<PromptHint> hints;
    std::ranges::transform(m_recentHints, std::back_inserter(hints), &RecentHint::hint);
    return hints;
}

void UpstreamTable::addHints(const std::vector<PromptHint> &hints, Time now)
{
    if (!m_costs.usesPromptHints)
        return;
    for (const PromptHint &hint : hints) {
        if (const auto it = m_records.find(hint.upstream); it != m_records.end())
            it->second.cache.insert(hint.key, now + reportedPrefillTime);
    }
}

void UpstreamTable::firstEvent(const UpstreamId &id, TokenCount prefillTokens)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        subtract(&it->second.load.prefillTokens, prefillTokens);
}

void UpstreamTable::ended(const UpstreamId &id, TokenCount prefillTokens, bool isShortPrompt)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    subtract(&it->second.load.prefillTokens, prefillTokens);
    subtract(&it->second.load.running, std::uint32_t{1});
    subtract(&it->second.load.shortPrompts, std::uint32_t{isShortPrompt ? 1U : 0U});
    it->second.circuit.abandoned();
}

void UpstreamTable::succeeded(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.succeeded();
}

void UpstreamTable::failed(const UpstreamId &id, Time now)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.failed(now);
}

void UpstreamTable::connectionRefused(const UpstreamId &id, Time now)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.connectionRefused(now);
}

void UpstreamTable::reportedFailing(const UpstreamId &id, const VmName &reporter, Time now)
{
    m_records[id].reports[reporter] = now;
}

/// By this gateway's evidence, or by enough reports of others.
bool UpstreamTable::isFailing(Record *record, Time now)
{
    std::erase_if(record->reports,
                  [&](const auto &it) { return it.second + reportLifetime < now; });
    if (record->isReplaced || !record->circuit.allows(now))
        return true;
    return record->reports.size() >= minReports;
}

/// The selector's share of a rate that all gateways share. If one gateway \p hasMost of it, those
/// that select on their own share the rest; otherwise all have equal shares.
double UpstreamTable::rateShare(const SelectionQuery &query, const UpstreamId &id,
                                bool hasMost) const
{
    if (hasMost && isInGroup(query, id))
        return schedulerShare;
    const double equal = 1.0 / static_cast<double>(m_gateways);
    return query.group == nullptr ? equal : equal * (1.0 - schedulerShare);
}

/// Spreads the start times of the gateways over a spacing.
Duration UpstreamTable::gatewayPhase(const UpstreamId &id, Duration spacing) const
{
    constexpr std::uint64_t parts = 256;
    const std::uint64_t part = (std::hash<UpstreamId>{}(id) ^ m_gatewayNumber) % parts;
    return fromSeconds(toSeconds(spacing) * static_cast<double>(part) / static_cast<double>(parts));
}

/// Interval between two calls of the selector to a cold upstream.
Duration UpstreamTable::coldSpacing(const SelectionQuery &query, const UpstreamId &id) const
{
    if (query.serviceInfo == nullptr || query.serviceInfo->coldCallsPerSecond <= 0)
        return {};
    return fromSeconds(
        1.0
        / (rateShare(query, id, query.isGroupScheduler) * query.serviceInfo->coldCallsPerSecond));
}

/// True for a cold upstream that has had its share of calls. Without this, one that had just
/// started got 15 calls in its first second at a cold rate of 5.9.
bool UpstreamTable::isColdLimited(const SelectionQuery &query, const UpstreamEntry &entry,
                                  Record *record, Time now) const
{
    const Duration spacing = coldSpacing(query, entry.id);
    if (spacing == Duration{})
        return false;
    const Duration phase = query.isGroupScheduler ? Duration{} : gatewayPhase(entry.id, spacing);
    record->cold.update(entry.revision, milliseconds(entry.coldLeftMs), phase, now);
    return !record->cold.allows(now);
}

/// True if the upstream announced a limit and the selector has used its share of it.
bool UpstreamTable::isRateLimited(const SelectionQuery &query, const UpstreamId &id,
                                  const Record &record, Time now) const
{
    const std::optional<CallRate> limit = m_limits.currentLimit(id, now);
    if (!limit)
        return false;
    const double rate = std::max(*limit, minLimit).perSecond();
    const Duration spacing = fromSeconds(1.0 / (rateShare(query, id, query.ownsLimits) * rate));
    if (m_gateways == 1 || (query.ownsLimits && isInGroup(query, id)))
        return !record.limit.allowsNext(spacing, now);
    return !record.limit.allowsInSlot(spacing, gatewayPhase(id, spacing), now);
}

bool UpstreamTable::isBlockedByLimit(const SelectionQuery &query,
                                     const UpstreamDirectory &directory, Time now) const
{
    if (m_limits.isEmpty())
        return false;
    return std::ranges::any_of(
        directory.usableUpstreams(query.service), [&](const UpstreamEntry *entry) {
            return isEligible(query, *entry) && m_limits.currentLimit(entry->id, now);
        });
}

void UpstreamTable::mayBeCold(const UpstreamId &id, Time now)
{
    m_records[id].cold.assumeCold(assumedColdTime, now);
}

void UpstreamTable::replaced(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.isReplaced = true;
}

void UpstreamTable::setPeerLoad(const VmName &peer, ReportedLoad reported, Time now, Duration valid)
{
    dropExpiredPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    replacePeerLoad(&known, std::move(reported.load));
    dropPendingPlacements(&known, reported.oldestPendingQuery, now);
    known.validUntil = now + valid;
}

void UpstreamTable::setPeerLoad(const VmName &peer, ReportedLoad reported,
                                const std::set<UpstreamId> &group, Time now)
{
    dropExpiredPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    for (const auto &[id, at] : known.load) {
        if (!group.contains(id))
            reported.load.emplace(id, at);
    }
    replacePeerLoad(&known, std::move(reported.load));
    dropPendingPlacements(&known, reported.oldestPendingQuery, now);
    known.validUntil = std::max(known.validUntil, now + peerLoadLifetime);
}

bool UpstreamTable::hasAlternative(const SelectionQuery &query, const UpstreamDirectory &directory,
                                   Time now) const
{
    return std::ranges::any_of(
        directory.usableUpstreams(query.service), [&](const UpstreamEntry *entry) {
            return isEligible(query, *entry) && !isBackedOff(query, entry->id, now);
        });
}

/// A backoff applies to the gateway it was requested from; calls placed for others are not
/// affected.
bool UpstreamTable::isBackedOff(const SelectionQuery &query, const UpstreamId &id, Time now) const
{
    return query.isLocal && m_backoffs.isBackedOff(id, now);
}

bool UpstreamTable::isBlockedByBackoff(const SelectionQuery &query,
                                       const UpstreamDirectory &directory, Time now) const
{
    if (m_backoffs.isEmpty())
        return false;
    return std::ranges::any_of(
        directory.usableUpstreams(query.service), [&](const UpstreamEntry *entry) {
            return isEligible(query, *entry) && isBackedOff(query, entry->id, now);
        });
}

std::vector<UpstreamId> UpstreamTable::unhealthyUpstreams(const ServiceName &service,
                                                          const UpstreamDirectory &directory,
                                                          Time now, std::size_t maxCount)
{
    std::vector<UpstreamId> found;
    for (const UpstreamEntry *entry : directory.usableUpstreams(service)) {
        if (found.size() == maxCount)
            break;
        const auto it = m_records.find(entry->id);
        const bool isKnown = it != m_records.end();
        if (isKnown && (it->second.isReplaced || !it->second.circuit.allows(now)))
            found.push_back(entry->id);
    }
    return found;
}

LoadByUpstream UpstreamTable::ownLoad() const
{
    LoadByUpstream load;
    for (const auto &[id, record] : m_records) {
        if (record.load.running > 0)
            load.emplace(id, record.load);
    }
    return load;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamtable.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace reachlead {

namespace {

/// Of the calls that a cold upstream bears, the part of the gateway that places for all: with two
/// that believe to be it and all others choosing by themselves, any second stays below twice the
/// rate.
constexpr double schedulersPart = 0.8;

/// An upstream that names less is still sent a call in ten seconds: only an answer tells that its
/// limit is over.
constexpr CallRate leastLimit{100};

/// What a finished count gives back, never below zero.
template <class T> void takeOff(T *value, T n)
{
    *value -= std::min(*value, n);
}

} // namespace

Circuit::Settings UpstreamTable::circuitSettings()
{
    Circuit::Settings settings;
    settings.initialOpenDuration =
        milliseconds(500); // a crashed upstream is back after seconds at best
    settings.maxOpenDuration = seconds(4); // a recovery must be noticed within a few seconds
    return settings;
}

void UpstreamTable::removeUnlisted(const UpstreamDirectory &directory)
{
    std::erase_if(m_records, [&](const auto &record) {
        return directory.find(record.first) == nullptr && record.second.load.running == 0;
    });
}

void UpstreamTable::addPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    UpstreamLoad &total = m_peerTotals[id];
    total.running += load.running;
    total.prefillTokens += load.prefillTokens;
    total.shortPrompts += load.shortPrompts;
}

void UpstreamTable::takeOffPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    const auto it = m_peerTotals.find(id);
    if (it == m_peerTotals.end())
        return;
    takeOff(&it->second.running, load.running);
    takeOff(&it->second.prefillTokens, load.prefillTokens);
    takeOff(&it->second.shortPrompts, load.shortPrompts);
    if (it->second.running == 0)
        m_peerTotals.erase(it);
}

void UpstreamTable::replacePeerLoad(PeerLoad *peer, LoadByUpstream load)
{
    for (const auto &[id, at] : peer->load)
        takeOffPeerLoad(id, at);
    peer->load = std::move(load);
    for (const auto &[id, at] : peer->load)
        addPeerLoad(id, at);
}

/// Forgets what was granted to questions before \p oldestPendingQuery, and what is older than
/// grantLimit.
void UpstreamTable::dropGrants(PeerLoad *peer, QueryId oldestPendingQuery, Time now)
{
    std::erase_if(peer->grants, [&](const Grant &grant) {
        const bool isOver = grant.number < oldestPendingQuery || grant.at + grantLimit < now;
        if (isOver)
            takeOffPeerLoad(grant.upstream, grant.load);
        return isOver;
    });
}

void UpstreamTable::dropOldPeers(Time now)
{
    const auto isOld = [&](const PeerLoad &peer) { return peer.validUntil < now; };
    for (PeerLoad &peer : m_peers | std::views::values | std::views::filter(isOld)) {
        replacePeerLoad(&peer, {});
        dropGrants(&peer, std::numeric_limits<QueryId>::max(), now);
    }
    std::erase_if(m_peers, [&](const auto &peer) { return isOld(peer.second); });
}

UpstreamLoad UpstreamTable::load(const UpstreamId &id, Time now)
{
    dropOldPeers(now);
    return knownLoad(id);
}

/// As load(), once old loads were dropped: that takes a look at each peer.
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

void UpstreamTable::sent(const UpstreamId &id, const SelectionQuery &ask, const Selection &choice,
                         Time now)
{
    Record &record = m_records[id];
    record.lastTurn = ++m_turns;
    ++record.load.running;
    record.load.prefillTokens += choice.prefillTokens;
    record.load.shortPrompts += choice.isShortPrompt ? 1 : 0;
    m_untold += choice.prefillTokens;
    noteParts(&record, ask, choice, now, true);
    record.circuit.sent();
    record.cold.sent(now, choice.coldSpacing);
    record.limit.sent(now);
}

/// Takes the parts of a prompt for cached; \p isTold: other gateways are to hear of the new ones.
void UpstreamTable::noteParts(Record *record, const SelectionQuery &ask, const Selection &choice,
                              Time now, bool isTold)
{
    const Time readyAt = now + readTime(ask.service, choice.tokensToFirstEvent);
    const Placement placement = placementOf(ask);
    for (const KeyedPart &part : placement.shared()) {
        if (record->cache.insert(part.key, readyAt) && isTold)
            m_fresh.push_back({{choice.upstream, part.key}, now});
    }
    if (!placement.parts.empty())
        record->cache.insert(placement.parts.back().key, readyAt);
}

/// The time until an engine has read this much, what is in front included.
Duration UpstreamTable::readTime(const ServiceName &service, TokenCount ahead)
{
    return serviceRate(service).waitFor(ahead, 0, 0, 0);
}

void UpstreamTable::addPendingPlacement(const VmName &peer, QueryId number,
                                        const SelectionQuery &ask, const Selection &choice,
                                        Time now)
{
    if (!m_costs.usesPeerLoads)
        return;
    dropOldPeers(now);
    Record &record = m_records[choice.upstream];
    record.lastTurn = ++m_turns;
    noteParts(&record, ask, choice, now, false);
    record.cold.sent(now, choice.coldSpacing);
    record.limit.sent(now);
    PeerLoad &known = m_peers[peer];
    known.validUntil = std::max(known.validUntil, now + peerLoadLifetime);
    const UpstreamLoad load{1, choice.prefillTokens, choice.isShortPrompt ? 1U : 0U};
    known.grants.push_back({number, choice.upstream, load, now});
    addPeerLoad(choice.upstream, load);
}

const ServiceRate &UpstreamTable::serviceRate(const ServiceName &service)
{
    return m_paces.try_emplace(service, m_costs.tokensPerMs).first->second;
}

void UpstreamTable::addRateSample(const ServiceName &service, const RateSample &sample)
{
    m_paces.try_emplace(service, m_costs.tokensPerMs).first->second.note(sample);
}

void UpstreamTable::recordPrefill(const ServiceName &service, TokenCount ahead, Duration span)
{
    if (ahead < ServiceRate::leastTokens)
        return;
    const RateSample sample{ahead, static_cast<std::uint32_t>(toMillis(span)), 0, 0};
    addRateSample(service, sample);
    m_newPace[service] += sample;
}

void UpstreamTable::recordCallDuration(const ServiceName &service, Duration span)
{
    const RateSample sample{0, 0, 1, static_cast<std::uint32_t>(toMillis(span))};
    addRateSample(service, sample);
    m_newPace[service] += sample;
}

RateSample UpstreamTable::takeRateSample(const ServiceName &service)
{
    return std::exchange(m_newPace[service], RateSample());
}

std::vector<PromptHint> UpstreamTable::recentHints(Time now, Duration span)
{
    while (!m_fresh.empty() && (m_fresh.front().at + span < now || m_fresh.size() > maxHints))
        m_fresh.pop_front();
    std::vector<PromptHint> notes;
    std::ranges::transform(m_fresh, std::back_inserter(notes), &FreshNote::note);
    return notes;
}

void UpstreamTable::addHints(const std::vector<PromptHint> &notes, Time now)
{
    if (!m_costs.usesPromptHints)
        return;
    for (const PromptHint &note : notes) {
        if (const auto it = m_records.find(note.upstream); it != m_records.end())
            it->second.cache.insert(note.key, now + toldReadTime);
    }
}

void UpstreamTable::firstEvent(const UpstreamId &id, TokenCount unread)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        takeOff(&it->second.load.prefillTokens, unread);
}

void UpstreamTable::ended(const UpstreamId &id, TokenCount unread, bool isShortPrompt)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    takeOff(&it->second.load.prefillTokens, unread);
    takeOff(&it->second.load.running, std::uint32_t{1});
    takeOff(&it->second.load.shortPrompts, std::uint32_t{isShortPrompt ? 1U : 0U});
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

/// By this gateway's evidence, or by that of enough others.
bool UpstreamTable::isFailing(Record *record, Time now)
{
    std::erase_if(record->reports, [&](const auto &it) { return it.second + reportAge < now; });
    if (record->isReplaced || !record->circuit.allows(now))
        return true;
    return record->reports.size() >= reportsNeeded;
}

/// The chooser's part of a rate that all gateways share. Where one gateway \p hasMost of it, those
/// that choose by themselves share the rest; where none does, all have equal parts.
double UpstreamTable::partOf(const SelectionQuery &ask, const UpstreamId &id, bool hasMost) const
{
    if (hasMost && isOfGroup(ask, id))
        return schedulersPart;
    const double equal = 1.0 / static_cast<double>(m_gateways);
    return ask.group == nullptr ? equal : equal * (1.0 - schedulersPart);
}

/// Spreads over a spacing the moments at which gateways begin.
Duration UpstreamTable::phaseOf(const UpstreamId &id, Duration spacing) const
{
    constexpr std::uint64_t parts = 256;
    const std::uint64_t part = (std::hash<UpstreamId>{}(id) ^ m_ownNumber) % parts;
    return fromSeconds(toSeconds(spacing) * static_cast<double>(part) / static_cast<double>(parts));
}

/// Between two calls of the chooser to a cold upstream.
Duration UpstreamTable::coldSpacing(const SelectionQuery &ask, const UpstreamId &id) const
{
    if (ask.serviceInfo == nullptr || ask.serviceInfo->coldCallsPerSecond <= 0)
        return {};
    return fromSeconds(
        1.0 / (partOf(ask, id, ask.isGroupScheduler) * ask.serviceInfo->coldCallsPerSecond));
}

/// True for an upstream that is cold and had its share of calls. One that had just started got 15
/// calls in its first second, of a rate of 5.9.
bool UpstreamTable::isTooCold(const SelectionQuery &ask, const UpstreamEntry &entry, Record *record,
                              Time now) const
{
    const Duration spacing = coldSpacing(ask, entry.id);
    if (spacing == Duration{})
        return false;
    const Duration phase = ask.isGroupScheduler ? Duration{} : phaseOf(entry.id, spacing);
    record->cold.told(entry.revision, milliseconds(entry.coldLeftMs), phase, now);
    return !record->cold.allows(now);
}

/// True for an upstream that named a limit and got the chooser's part of it.
bool UpstreamTable::isOverLimit(const SelectionQuery &ask, const UpstreamId &id,
                                const Record &record, Time now) const
{
    const std::optional<CallRate> limit = m_limits.currentLimit(id, now);
    if (!limit)
        return false;
    const double rate = std::max(*limit, leastLimit).perSecond();
    const Duration spacing = fromSeconds(1.0 / (partOf(ask, id, ask.ownsLimits) * rate));
    if (m_gateways == 1 || (ask.ownsLimits && isOfGroup(ask, id)))
        return !record.limit.allowsNext(spacing, now);
    return !record.limit.allowsInSlot(spacing, phaseOf(id, spacing), now);
}

bool UpstreamTable::isBlockedByLimit(const SelectionQuery &ask, const UpstreamDirectory &directory,
                                     Time now) const
{
    if (m_limits.isEmpty())
        return false;
    return std::ranges::any_of(
        directory.usableUpstreams(ask.service), [&](const UpstreamEntry *entry) {
            return isEligible(ask, *entry) && m_limits.currentLimit(entry->id, now);
        });
}

void UpstreamTable::mayBeCold(const UpstreamId &id, Time now)
{
    m_records[id].cold.doubted(coldDoubt, now);
}

void UpstreamTable::replaced(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.isReplaced = true;
}

void UpstreamTable::setPeerLoad(const VmName &peer, ReportedLoad told, Time now, Duration valid)
{
    dropOldPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    replacePeerLoad(&known, std::move(told.load));
    dropGrants(&known, told.oldestPendingQuery, now);
    known.validUntil = now + valid;
}

void UpstreamTable::setPeerLoad(const VmName &peer, ReportedLoad told,
                                const std::set<UpstreamId> &group, Time now)
{
    dropOldPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    for (const auto &[id, at] : known.load) {
        if (!group.contains(id))
            told.load.emplace(id, at);
    }
    replacePeerLoad(&known, std::move(told.load));
    dropGrants(&known, told.oldestPendingQuery, now);
    known.validUntil = std::max(known.validUntil, now + peerLoadLifetime);
}

bool UpstreamTable::hasAlternative(const SelectionQuery &ask, const UpstreamDirectory &directory,
                                   Time now) const
{
    return std::ranges::any_of(
        directory.usableUpstreams(ask.service), [&](const UpstreamEntry *entry) {
            return isEligible(ask, *entry) && !isBackedOff(ask, entry->id, now);
        });
}

/// A backoff binds the gateway that was asked for it; calls placed for others go on.
bool UpstreamTable::isBackedOff(const SelectionQuery &ask, const UpstreamId &id, Time now) const
{
    return ask.isLocal && m_backoffs.isBackedOff(id, now);
}

bool UpstreamTable::isBlockedByBackoff(const SelectionQuery &ask,
                                       const UpstreamDirectory &directory, Time now) const
{
    if (m_backoffs.isEmpty())
        return false;
    return std::ranges::any_of(
        directory.usableUpstreams(ask.service), [&](const UpstreamEntry *entry) {
            return isEligible(ask, *entry) && isBackedOff(ask, entry->id, now);
        });
}

std::vector<UpstreamId> UpstreamTable::unhealthyUpstreams(const ServiceName &service,
                                                          const UpstreamDirectory &directory,
                                                          Time now, std::size_t most)
{
    std::vector<UpstreamId> found;
    for (const UpstreamEntry *entry : directory.usableUpstreams(service)) {
        if (found.size() == most)
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

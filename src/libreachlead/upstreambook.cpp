// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreambook.h>

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

void UpstreamBook::addPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    UpstreamLoad &total = m_peerTotals[id];
    total.running += load.running;
    total.unreadTokens += load.unreadTokens;
    total.brief += load.brief;
}

void UpstreamBook::takeOffPeerLoad(const UpstreamId &id, const UpstreamLoad &load)
{
    const auto it = m_peerTotals.find(id);
    if (it == m_peerTotals.end())
        return;
    takeOff(&it->second.running, load.running);
    takeOff(&it->second.unreadTokens, load.unreadTokens);
    takeOff(&it->second.brief, load.brief);
    if (it->second.running == 0)
        m_peerTotals.erase(it);
}

void UpstreamBook::replacePeerLoad(PeerLoad *peer, LoadByUpstream load)
{
    for (const auto &[id, at] : peer->load)
        takeOffPeerLoad(id, at);
    peer->load = std::move(load);
    for (const auto &[id, at] : peer->load)
        addPeerLoad(id, at);
}

/// Forgets what was granted to questions before \p openFrom, and what is older than grantLimit.
void UpstreamBook::dropGrants(PeerLoad *peer, AskNumber openFrom, Time now)
{
    std::erase_if(peer->grants, [&](const Grant &grant) {
        const bool isOver = grant.number < openFrom || grant.at + grantLimit < now;
        if (isOver)
            takeOffPeerLoad(grant.upstream, grant.load);
        return isOver;
    });
}

void UpstreamBook::dropOldPeers(Time now)
{
    const auto isOld = [&](const PeerLoad &peer) { return peer.validUntil < now; };
    for (PeerLoad &peer : m_peers | std::views::values | std::views::filter(isOld)) {
        replacePeerLoad(&peer, {});
        dropGrants(&peer, std::numeric_limits<AskNumber>::max(), now);
    }
    std::erase_if(m_peers, [&](const auto &peer) { return isOld(peer.second); });
}

UpstreamLoad UpstreamBook::loadOf(const UpstreamId &id, Time now)
{
    dropOldPeers(now);
    return knownLoad(id);
}

/// As loadOf(), once old loads were dropped: that takes a look at each peer.
UpstreamLoad UpstreamBook::knownLoad(const UpstreamId &id) const
{
    UpstreamLoad total;
    if (const auto it = m_records.find(id); it != m_records.end())
        total = it->second.load;
    if (const auto it = m_peerTotals.find(id); it != m_peerTotals.end()) {
        total.running += it->second.running;
        total.unreadTokens += it->second.unreadTokens;
        total.brief += it->second.brief;
    }
    return total;
}

void UpstreamBook::sent(const UpstreamId &id, const ChoiceAsk &ask, const Choice &choice, Time now)
{
    Record &record = m_records[id];
    record.lastTurn = ++m_turns;
    ++record.load.running;
    record.load.unreadTokens += choice.unreadTokens;
    record.load.brief += choice.isBrief ? 1 : 0;
    m_untold += choice.unreadTokens;
    noteParts(&record, ask, choice, now, true);
    record.circuit.sent();
    record.cold.sent(now, choice.coldSpacing);
    record.limit.sent(now);
}

/// Takes the parts of a prompt for cached; \p isTold: other gateways are to hear of the new ones.
void UpstreamBook::noteParts(Record *record, const ChoiceAsk &ask, const Choice &choice, Time now,
                             bool isTold)
{
    const Time readyAt = now + readTime(ask.service, choice.aheadTokens);
    const Placement placement = placementOf(ask);
    for (const KeyedPart &part : placement.shared()) {
        if (record->cache.note(part.key, readyAt) && isTold)
            m_fresh.push_back({{choice.upstream, part.key}, now});
    }
    if (!placement.parts.empty())
        record->cache.note(placement.parts.back().key, readyAt);
}

/// The time until an engine has read this much, what is in front included.
Duration UpstreamBook::readTime(const ServiceName &service, TokenCount ahead)
{
    return paceOf(service).waitFor(ahead, 0, 0, 0);
}

void UpstreamBook::granted(const VmName &peer, AskNumber number, const ChoiceAsk &ask,
                           const Choice &choice, Time now)
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
    known.validUntil = std::max(known.validUntil, now + peerLoadAge);
    const UpstreamLoad load{1, choice.unreadTokens, choice.isBrief ? 1U : 0U};
    known.grants.push_back({number, choice.upstream, load, now});
    addPeerLoad(choice.upstream, load);
}

const ServicePace &UpstreamBook::paceOf(const ServiceName &service)
{
    return m_paces.try_emplace(service, m_costs.tokensPerMs).first->second;
}

void UpstreamBook::learnPace(const ServiceName &service, const PaceSample &sample)
{
    m_paces.try_emplace(service, m_costs.tokensPerMs).first->second.note(sample);
}

void UpstreamBook::noteRead(const ServiceName &service, TokenCount ahead, Duration span)
{
    if (ahead < ServicePace::leastTokens)
        return;
    const PaceSample sample{ahead, static_cast<std::uint32_t>(toMillis(span)), 0, 0};
    learnPace(service, sample);
    m_newPace[service] += sample;
}

void UpstreamBook::noteHeld(const ServiceName &service, Duration span)
{
    const PaceSample sample{0, 0, 1, static_cast<std::uint32_t>(toMillis(span))};
    learnPace(service, sample);
    m_newPace[service] += sample;
}

PaceSample UpstreamBook::takePace(const ServiceName &service)
{
    return std::exchange(m_newPace[service], PaceSample());
}

std::vector<PromptNote> UpstreamBook::freshNotes(Time now, Duration span)
{
    while (!m_fresh.empty() && (m_fresh.front().at + span < now || m_fresh.size() > mostNotes))
        m_fresh.pop_front();
    std::vector<PromptNote> notes;
    std::ranges::transform(m_fresh, std::back_inserter(notes), &FreshNote::note);
    return notes;
}

void UpstreamBook::learn(const std::vector<PromptNote> &notes, Time now)
{
    if (!m_costs.usesNotes)
        return;
    for (const PromptNote &note : notes) {
        if (const auto it = m_records.find(note.upstream); it != m_records.end())
            it->second.cache.note(note.key, now + toldReadTime);
    }
}

void UpstreamBook::firstEvent(const UpstreamId &id, TokenCount unread)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        takeOff(&it->second.load.unreadTokens, unread);
}

void UpstreamBook::ended(const UpstreamId &id, TokenCount unread, bool isBrief)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    takeOff(&it->second.load.unreadTokens, unread);
    takeOff(&it->second.load.running, std::uint32_t{1});
    takeOff(&it->second.load.brief, std::uint32_t{isBrief ? 1U : 0U});
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

void UpstreamBook::absent(const UpstreamId &id, Time now)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.circuit.absent(now);
}

void UpstreamBook::reportedFailing(const UpstreamId &id, const VmName &reporter, Time now)
{
    m_records[id].reports[reporter] = now;
}

/// By this gateway's evidence, or by that of enough others.
bool UpstreamBook::isFailing(Record *record, Time now)
{
    std::erase_if(record->reports, [&](const auto &it) { return it.second + reportAge < now; });
    if (record->isReplaced || !record->circuit.allows(now))
        return true;
    return record->reports.size() >= reportsNeeded;
}

/// The chooser's part of a rate that all gateways share. Where one gateway \p hasMost of it, those
/// that choose by themselves share the rest; where none does, all have equal parts.
double UpstreamBook::partOf(const ChoiceAsk &ask, const UpstreamId &id, bool hasMost) const
{
    if (hasMost && isOfGroup(ask, id))
        return schedulersPart;
    const double equal = 1.0 / static_cast<double>(m_gateways);
    return ask.group == nullptr ? equal : equal * (1.0 - schedulersPart);
}

/// Spreads over a spacing the moments at which gateways begin.
Duration UpstreamBook::phaseOf(const UpstreamId &id, Duration spacing) const
{
    constexpr std::uint64_t parts = 256;
    const std::uint64_t part = (std::hash<UpstreamId>{}(id) ^ m_ownNumber) % parts;
    return fromSeconds(toSeconds(spacing) * static_cast<double>(part) / static_cast<double>(parts));
}

/// Between two calls of the chooser to a cold upstream.
Duration UpstreamBook::coldSpacing(const ChoiceAsk &ask, const UpstreamId &id) const
{
    if (ask.info == nullptr || ask.info->coldPerSecond <= 0)
        return {};
    return fromSeconds(1.0 / (partOf(ask, id, ask.placesForAll) * ask.info->coldPerSecond));
}

/// True for an upstream that is cold and had its share of calls. One that had just started got 15
/// calls in its first second, of a rate of 5.9.
bool UpstreamBook::isTooCold(const ChoiceAsk &ask, const UpstreamEntry &entry, Record *record,
                             Time now) const
{
    const Duration spacing = coldSpacing(ask, entry.id);
    if (spacing == Duration{})
        return false;
    const Duration phase = ask.placesForAll ? Duration{} : phaseOf(entry.id, spacing);
    record->cold.told(entry.revision, milliseconds(entry.coldLeftMs), phase, now);
    return !record->cold.allows(now);
}

/// True for an upstream that named a limit and got the chooser's part of it.
bool UpstreamBook::isOverLimit(const ChoiceAsk &ask, const UpstreamId &id, const Record &record,
                               Time now) const
{
    const std::optional<CallRate> limit = m_limits.of(id, now);
    if (!limit)
        return false;
    const double rate = std::max(*limit, leastLimit).perSecond();
    const Duration spacing = fromSeconds(1.0 / (partOf(ask, id, ask.ownsLimits) * rate));
    if (m_gateways == 1 || (ask.ownsLimits && isOfGroup(ask, id)))
        return !record.limit.allowsNext(spacing, now);
    return !record.limit.allowsInSlot(spacing, phaseOf(id, spacing), now);
}

bool UpstreamBook::isKeptByLimits(const ChoiceAsk &ask, const UpstreamDirectory &directory,
                                  Time now) const
{
    if (m_limits.isEmpty())
        return false;
    return std::ranges::any_of(directory.usableOf(ask.service), [&](const UpstreamEntry *entry) {
        return isEligible(ask, *entry) && m_limits.of(entry->id, now);
    });
}

void UpstreamBook::mayBeCold(const UpstreamId &id, Time now)
{
    m_records[id].cold.doubted(coldDoubt, now);
}

void UpstreamBook::replaced(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.isReplaced = true;
}

void UpstreamBook::setPeerLoad(const VmName &peer, ToldLoad told, Time now, Duration valid)
{
    dropOldPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    replacePeerLoad(&known, std::move(told.load));
    dropGrants(&known, told.openFrom, now);
    known.validUntil = now + valid;
}

void UpstreamBook::setPeerLoad(const VmName &peer, ToldLoad told, const std::set<UpstreamId> &group,
                               Time now)
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
    dropGrants(&known, told.openFrom, now);
    known.validUntil = std::max(known.validUntil, now + peerLoadAge);
}

bool UpstreamBook::hasOther(const ChoiceAsk &ask, const UpstreamDirectory &directory,
                            Time now) const
{
    return std::ranges::any_of(directory.usableOf(ask.service), [&](const UpstreamEntry *entry) {
        return isEligible(ask, *entry) && !isBackedOff(ask, entry->id, now);
    });
}

/// A backoff binds the gateway that was asked for it; calls placed for others go on.
bool UpstreamBook::isBackedOff(const ChoiceAsk &ask, const UpstreamId &id, Time now) const
{
    return ask.isOwn && m_backoffs.isBackedOff(id, now);
}

bool UpstreamBook::isKeptByBackoffs(const ChoiceAsk &ask, const UpstreamDirectory &directory,
                                    Time now) const
{
    if (m_backoffs.isEmpty())
        return false;
    return std::ranges::any_of(directory.usableOf(ask.service), [&](const UpstreamEntry *entry) {
        return isEligible(ask, *entry) && isBackedOff(ask, entry->id, now);
    });
}

std::vector<UpstreamId> UpstreamBook::unhealthyOf(const ServiceName &service,
                                                  const UpstreamDirectory &directory, Time now,
                                                  std::size_t most)
{
    std::vector<UpstreamId> found;
    for (const UpstreamEntry *entry : directory.usableOf(service)) {
        if (found.size() == most)
            break;
        const auto it = m_records.find(entry->id);
        const bool isKnown = it != m_records.end();
        if (isKnown && (it->second.isReplaced || !it->second.circuit.allows(now)))
            found.push_back(entry->id);
    }
    return found;
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

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreambook.h>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace reachlead {

namespace {

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

void UpstreamBook::addPeerLoad(const LoadByUpstream &load)
{
    for (const auto &[id, at] : load) {
        UpstreamLoad &total = m_peerTotals[id];
        total.running += at.running;
        total.unreadTokens += at.unreadTokens;
        total.brief += at.brief;
    }
}

void UpstreamBook::takeOffPeerLoad(const LoadByUpstream &load)
{
    for (const auto &[id, at] : load) {
        const auto it = m_peerTotals.find(id);
        if (it == m_peerTotals.end())
            continue;
        takeOff(&it->second.running, at.running);
        takeOff(&it->second.unreadTokens, at.unreadTokens);
        takeOff(&it->second.brief, at.brief);
        if (it->second.running == 0)
            m_peerTotals.erase(it);
    }
}

void UpstreamBook::dropOldPeers(Time now)
{
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool isOld = peer.second.validUntil < now;
        if (isOld)
            takeOffPeerLoad(peer.second.load);
        return isOld;
    });
}

UpstreamLoad UpstreamBook::loadOf(const UpstreamId &id, Time now)
{
    dropOldPeers(now);
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
    const Placement placement = placementOf(ask);
    for (const KeyedPart &part : placement.shared()) {
        if (record.cache.note(part.key, now))
            m_fresh.push_back({{id, part.key}, now});
    }
    if (!placement.parts.empty())
        record.cache.note(placement.parts.back().key, now);
    record.circuit.sent();
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
            it->second.cache.note(note.key, now);
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

void UpstreamBook::replaced(const UpstreamId &id)
{
    if (const auto it = m_records.find(id); it != m_records.end())
        it->second.isReplaced = true;
}

void UpstreamBook::setPeerLoad(const VmName &peer, LoadByUpstream load, Time now, Duration valid)
{
    dropOldPeers(now);
    if (!m_costs.usesPeerLoads)
        return;
    PeerLoad &known = m_peers[peer];
    takeOffPeerLoad(known.load);
    addPeerLoad(load);
    known = PeerLoad{std::move(load), now + valid};
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

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/streamlink.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <reachlead/log.h>

#include "peer/payload.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// Minimum interval between updates of the known gateways.
constexpr Duration minFleetReadInterval = milliseconds(500);

/// A service has a few versions at a time.
constexpr std::size_t maxReportedVersions = 8;

std::uint64_t rank(const StreamKey &stream, const VmName &vm)
{
    return XXH64(vm.text.data(), vm.text.size(), stream.high);
}

} // namespace

StreamLink::StreamLink(asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                       Counters *counters)
    : m_io(io), m_state(state), m_peers(peers), m_counters(counters),
      m_archiver(io, state, peers, counters)
{
    m_peers.onDatagram(
        {PeerMessageKind::StreamCopy, PeerMessageKind::StreamQuery, PeerMessageKind::StreamReply},
        [this](PeerMessageKind kind, std::string_view message, const UdpEndpoint &from) {
            handleDatagram(kind, message, from);
        });
}

void StreamLink::refreshFleet()
{
    const Time now = RuntimeClock::now();
    if (m_fleetReadAt && now < *m_fleetReadAt + minFleetReadInterval)
        return;
    m_fleetReadAt = now;
    const std::set<VmName> live = m_peers.livePeers();
    m_gateways.clear();
    for (auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_state.vm())
            m_gateways.push_back({entry, live.contains(vm)});
    }
}

/// The first \p n of the other gateways in the rendezvous order of the stream.
std::vector<const StreamLink::Gateway *> StreamLink::rankedGateways(const StreamKey &stream,
                                                                    std::size_t n, bool liveFirst)
{
    refreshFleet();
    using Ranked = std::tuple<bool, std::uint64_t, const Gateway *>;
    std::vector<Ranked> ranked;
    ranked.reserve(m_gateways.size());
    std::ranges::transform(m_gateways, std::back_inserter(ranked), [&](const Gateway &gateway) {
        return Ranked{liveFirst && !gateway.isLive, rank(stream, gateway.entry.vm), &gateway};
    });
    n = std::min(n, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(n));
    ranked.resize(n);
    std::vector<const Gateway *> first;
    std::ranges::transform(ranked, std::back_inserter(first),
                           [](const Ranked &it) { return std::get<const Gateway *>(it); });
    return first;
}

void StreamLink::store(const StreamKey &stream, const StreamBinding &binding, Duration retention)
{
    const bool hadRoom = m_state.streams().record(stream, binding, retention, RuntimeClock::now());
    if (!hadRoom && m_counters != nullptr)
        m_counters->add(Counter::StreamsEvicted);
    m_state.versionReported(binding.service, binding.version);
}

void StreamLink::record(const StreamKey &stream, const StreamBinding &binding, Duration retention)
{
    store(stream, binding, retention);
    const std::string payload =
        pvt::encodePayload(Copy{stream, binding, static_cast<std::uint32_t>(toMillis(retention))});
    for (const Gateway *gateway : rankedGateways(stream, copyCount, true))
        m_peers.sendTo(gateway->entry.address, PeerMessageKind::StreamCopy, payload);
    m_archiver.record(stream, binding, retention);
}

std::optional<StreamLookup> StreamLink::findLocally(const StreamKey &stream) const
{
    const Time now = RuntimeClock::now();
    const StreamBindings::Record *known = m_state.streams().find(stream, now);
    if (known == nullptr)
        return std::nullopt;
    StreamLookup found;
    found.binding = known->binding;
    found.age = now - known->recordedAt;
    found.source = m_state.vm();
    return found;
}

/// False only if it is known that all streams of the service were begun by one version.
bool StreamLink::hadSeveralVersions(const StreamLookup &found, const ServiceName &service) const
{
    std::set<SoftwareVersion> versions = m_state.directory().recentVersions(service);
    versions.insert(found.versions.begin(), found.versions.end());
    if (!m_state.directory().knowsRecentVersions(RuntimeClock::now())) {
        std::optional<std::set<SoftwareVersion>> stored = m_archiver.storedVersions(service);
        if (!stored)
            return true;
        versions.merge(*stored);
    }
    return versions.size() != 1;
}

/// All copies at gateways are lost if all of them are, so the stored ones are read then.
asio::awaitable<StreamLookup> StreamLink::find(StreamKey stream, ServiceName service)
{
    const std::optional<StreamLookup> known = findLocally(stream);
    if (known && m_state.wasInTouchSince(RuntimeClock::now() - known->age))
        co_return *known;
    StreamLookup found = co_await findAtPeers(stream, service);
    // A gateway that was out of touch may have missed that the stream moved.
    if (known && (!found.binding || found.binding->send <= known->binding->send)) {
        found.binding = known->binding;
        found.age = known->age;
        found.source = known->source;
    }
    if (found.binding || !hadSeveralVersions(found, service))
        co_return found;
    co_await m_archiver.refresh(service);
    co_return findLocally(stream).value_or(found);
}

asio::awaitable<std::optional<std::set<SoftwareVersion>>>
StreamLink::recentVersions(ServiceName service, Time asOf)
{
    if (!m_state.wasCurrentAt(asOf))
        co_return std::nullopt;
    if (!m_state.directory().knowsRecentVersions(RuntimeClock::now())
        && !m_archiver.storedVersions(service))
        co_await m_archiver.refresh(service);
    std::set<SoftwareVersion> versions = m_state.directory().recentVersions(service);
    if (m_state.directory().knowsRecentVersions(RuntimeClock::now()))
        co_return versions;
    std::optional<std::set<SoftwareVersion>> stored = m_archiver.storedVersions(service);
    if (!stored)
        co_return std::nullopt;
    versions.merge(*stored);
    co_return versions;
}

asio::awaitable<StreamLookup> StreamLink::findAtPeers(StreamKey stream, ServiceName service)
{
    const Query query{m_peers.incarnation(), ++m_lastQuery, stream, service};
    Lookup lookup(m_io);
    for (const Gateway *gateway : rankedGateways(stream, queryCount, false))
        lookup.unanswered.insert(gateway->entry.vm);
    const auto lookups = m_lookups; // may outlive the link
    lookups->emplace(query.number, &lookup);
    constexpr std::array timeouts{replyTimeout, repeatTimeout};
    for (const Duration timeout : timeouts) {
        if (lookup.found.binding || lookup.unanswered.empty())
            break;
        sendQueries(query, lookup.unanswered);
        boost::system::error_code ec;
        lookup.timer.expires_after(timeout);
        co_await lookup.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (lookup.found.binding && !lookup.unanswered.empty()) {
        boost::system::error_code ec;
        lookup.timer.expires_after(settleTime);
        co_await lookup.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    lookups->erase(query.number);
    lookup.found.unansweredCount = lookup.unanswered.size();
    co_return lookup.found;
}

void StreamLink::sendQueries(const Query &query, const std::set<VmName> &to)
{
    const std::string payload = pvt::encodePayload(query);
    for (const Gateway &gateway : m_gateways) {
        if (to.contains(gateway.entry.vm))
            m_peers.sendTo(gateway.entry.address, PeerMessageKind::StreamQuery, payload);
    }
}

void StreamLink::handleDatagram(PeerMessageKind kind, std::string_view message,
                                const UdpEndpoint &from)
{
    std::string reason;
    if (kind == PeerMessageKind::StreamCopy) {
        if (const auto copy = pvt::decodePayload<Copy>(message, &reason))
            store(copy->stream, copy->binding, milliseconds(copy->retentionMs));
    } else if (kind == PeerMessageKind::StreamQuery) {
        if (const auto query = pvt::decodePayload<Query>(message, &reason))
            answer(*query, from);
    } else if (const auto reply = pvt::decodePayload<Reply>(message, &reason)) {
        handleReply(*reply);
    }
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

void StreamLink::answer(const Query &query, const UdpEndpoint &from)
{
    const Time now = RuntimeClock::now();
    Reply reply;
    reply.from = m_state.vm();
    reply.querier = query.querier;
    reply.number = query.number;
    if (const StreamBindings::Record *known = m_state.streams().find(query.stream, now)) {
        reply.binding = known->binding;
        reply.ageMs = static_cast<std::uint32_t>(toMillis(now - known->recordedAt));
    } else {
        std::ranges::copy(m_state.directory().recentVersions(query.service)
                              | std::views::take(maxReportedVersions),
                          std::back_inserter(reply.versions));
    }
    m_peers.sendTo(from, PeerMessageKind::StreamReply, pvt::encodePayload(reply));
}

void StreamLink::handleReply(const Reply &reply)
{
    const auto it = m_lookups->find(reply.number);
    if (reply.querier != m_peers.incarnation() || it == m_lookups->end())
        return;
    Lookup &lookup = *it->second;
    if (lookup.unanswered.erase(reply.from) == 0)
        return;
    lookup.found.versions.insert(reply.versions.begin(), reply.versions.end());
    const bool isFirst = reply.binding && !lookup.found.binding;
    const bool isNewer =
        isFirst || (reply.binding && lookup.found.binding->send < reply.binding->send);
    if (isNewer) {
        lookup.found.binding = reply.binding;
        lookup.found.age = milliseconds(reply.ageMs);
        lookup.found.source = reply.from;
    }
    if (isFirst || lookup.unanswered.empty())
        lookup.timer.cancel();
}

} // namespace reachlead

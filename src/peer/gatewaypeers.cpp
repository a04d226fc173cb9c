// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/gatewaypeers.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ranges>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/completion.h>
#include <reachlead/log.h>

#include "peer/messageauth.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

/// Gateways in a sample; with two, each gateway learns of all others within a few rounds.
constexpr std::size_t sampleSize = 2;
constexpr std::size_t maxPeers = 2000; ///< about 200 bytes each
constexpr Duration minAnnounceInterval = milliseconds(50); ///< between heartbeats sent out of turn
/// Age at which the list of the other gateways is rebuilt, which takes a lookup for each of them.
constexpr Duration maxOtherGatewaysAge = seconds(2);
constexpr Duration maxTransitTime = milliseconds(20); ///< usual upper bound of a heartbeat's delay

std::uint64_t steadyMillis(Time at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

/// The nearest age that a heartbeat can report.
std::int32_t toAgeMs(Duration age)
{
    constexpr double maxAgeMs = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp(toMillis(age), 0.0, maxAgeMs));
}

} // namespace

GatewayPeers::GatewayPeers(asio::io_context &io, Options options, GatewayState &state)
    : m_io(io), m_options(std::move(options)), m_state(state), m_incarnation(makeIncarnation()),
      m_acceptor(io,
                 tcp::endpoint(asio::ip::make_address(m_options.self.address.address),
                               m_options.self.address.port)),
      m_udpSocket(
          io,
          udp::endpoint(m_acceptor.local_endpoint().address(), m_acceptor.local_endpoint().port()))
{
    m_options.self.address.port = m_acceptor.local_endpoint().port();
    m_nextTarget = m_random() % maxPeers;
    m_time.recordClock(m_options.self.vm, vmTimeOfDay(), RuntimeClock::now());
    m_state.setTimeOfDay([this] { return timeOfDay(); });
    asio::co_spawn(io, heartbeatLoop(), asio::detached);
    asio::co_spawn(io, receiveLoop(), asio::detached);
    asio::co_spawn(io, acceptLoop(), asio::detached);
}

void GatewayPeers::stop()
{
    m_stopped = true;
    error_code ec;
    m_udpSocket.close(ec);
    m_acceptor.close(ec);
}

std::set<VmName> GatewayPeers::livePeers() const
{
    const Time now = RuntimeClock::now();
    std::set<VmName> live;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.lastSeen + peerTimeout > now)
            live.insert(vm);
    }
    return live;
}

std::map<VmName, GatewayEntry> GatewayPeers::liveGateways() const
{
    const Time now = RuntimeClock::now();
    std::map<VmName, GatewayEntry> live{{m_options.self.vm, m_options.self}};
    for (const auto &[vm, peer] : m_peers) {
        if (peer.lastSeen + peerTimeout > now)
            live.emplace(vm, peer.entry);
    }
    return live;
}

asio::awaitable<void> GatewayPeers::heartbeatLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        reportLag();
        sendHeartbeats();
        const Time sent = RuntimeClock::now();
        const auto isNextDue = [&] {
            return m_options.heartbeats.isDue(RuntimeClock::now() - sent,
                                              m_state.upstreams().unreportedTokens(),
                                              m_lastHeartbeatBytes, m_peers.size());
        };
        while (!m_stopped && !isNextDue()) {
            error_code ec;
            timer.expires_after(
                std::min(HeartbeatBudget::checkInterval, m_options.heartbeats.interval));
            co_await timer.async_wait(storeError(&ec));
            handleBatch(m_inbox.readArrived());
        }
    }
}

GatewayHeartbeat GatewayPeers::makeHeartbeat()
{
    GatewayHeartbeat heartbeat;
    heartbeat.from = m_options.self;
    heartbeat.incarnation = m_incarnation;
    heartbeat.sequence = nextSequence();
    heartbeat.configVersion = m_state.configVersion();
    heartbeat.registryRevision = m_state.directory().revision();
    heartbeat.evacuationRevision = m_state.evacuations().revision();
    heartbeat.evacuationChecksum = m_state.evacuations().checksum();
    heartbeat.rosterRevision = m_state.roster().revision;
    heartbeat.sentAtMs = steadyMillis(RuntimeClock::now());
    heartbeat.clock = vmTimeOfDay();
    m_time.recordClock(m_options.self.vm, heartbeat.clock, RuntimeClock::now());
    m_time.dropOld(RuntimeClock::now());
    if (const auto at = m_state.currentAt())
        heartbeat.ageMs = toAgeMs(RuntimeClock::now() - *at);
    heartbeat.load = compactLoad(m_state.upstreams().ownLoad());
    heartbeat.quarantineChecksum = m_state.crashes().checksum(RuntimeClock::now());
    heartbeat.oldestPendingQuery = m_oldestPendingQuery ? m_oldestPendingQuery() : 0;
    m_state.upstreams().markReported();
    const Time now = RuntimeClock::now();
    const Duration window =
        m_options.heartbeats.hintWindow(m_lastTargetCount, otherGateways().size());
    heartbeat.hints = compactHints(m_state.upstreams().recentHints(now, window));
    heartbeat.limits = limitsToReport(now);
    heartbeat.leaving = leavingToReport(now);
    // A limit takes at most as many bytes as two prompt hints, and an id as three; hints are
    // dropped to make room for them.
    const std::size_t displacedHints = 2 * heartbeat.limits.size() + 3 * heartbeat.leaving.size();
    heartbeat.hints.resize(
        std::min(heartbeat.hints.size(), UpstreamTable::maxHints - displacedHints));
    if (heartbeat.load.size() <= maxReportedLoads / 2) // otherwise there is no room
        heartbeat.liveGateways = liveGatewaysToReport(now);
    if (++m_heartbeatCount % heartbeatsPerSample != 1)
        return heartbeat;
    std::vector<GatewayEntry> recent;
    for (const Peer &peer : m_peers | std::views::values) {
        if (peer.lastSeen + peerTimeout / 2 > now)
            recent.push_back(peer.entry);
    }
    std::ranges::sample(recent, std::back_inserter(heartbeat.sample), sampleSize, m_random);
    return heartbeat;
}

std::vector<CompactLimit> GatewayPeers::limitsToReport(Time now,
                                                       const std::set<UpstreamId> *upstreams)
{
    const std::vector<LimitUpdate> recent = m_state.upstreams().limits().recent(now);
    std::vector<LimitUpdate> matching;
    std::ranges::copy_if(recent, std::back_inserter(matching),
                         [upstreams](const LimitUpdate &update) {
                             return upstreams == nullptr || upstreams->contains(update.upstream);
                         });
    std::vector<LimitUpdate> selected;
    std::ranges::sample(matching, std::back_inserter(selected), maxReportedLimits, m_random);
    return compactLimits(selected);
}

std::vector<UpstreamId> GatewayPeers::leavingToReport(Time now, const ServiceName *service)
{
    const UpstreamDirectory &directory = m_state.directory();
    std::vector<UpstreamId> matching;
    std::ranges::copy_if(
        directory.leaving().recent(now), std::back_inserter(matching), [&](const UpstreamId &id) {
            const UpstreamEntry *entry = directory.find(id);
            return entry != nullptr && (service == nullptr || entry->service == *service);
        });
    std::vector<UpstreamId> selected;
    std::ranges::sample(matching, std::back_inserter(selected), maxReportedLeaving, m_random);
    return selected;
}

/// A sample of live gateways, if the others would not learn of each by heartbeats alone in time.
std::vector<CompactLiveGateway> GatewayPeers::liveGatewaysToReport(Time now)
{
    std::vector<CompactLiveGateway> selected;
    if (m_peers.size() <= maxHeartbeatsPerRound * m_lastTargetCount)
        return selected;
    std::vector<CompactLiveGateway> recent;
    for (const auto &[vm, peer] : m_peers) {
        const double tenths = std::ceil(toSeconds(now - peer.lastSeen) * 10.0);
        if (peer.lastSeen + peerTimeout > now + m_options.heartbeats.interval)
            recent.push_back({vmHash(vm), static_cast<std::uint8_t>(std::max(0.0, tenths))});
    }
    std::ranges::sample(recent, std::back_inserter(selected), maxReportedGateways, m_random);
    return selected;
}

/// Rebuilds m_gatewaysByHash when the roster changed or entries of lost peers have accumulated.
void GatewayPeers::updateHashIndex()
{
    const bool isSame = m_indexedRosterRevision == m_state.roster().revision;
    if (isSame && m_gatewaysByHash.size() < 2 * maxPeers)
        return;
    m_indexedRosterRevision = m_state.roster().revision;
    m_gatewaysByHash.clear();
    for (const GatewayEntry &entry : m_state.roster().gateways)
        m_gatewaysByHash.emplace(vmHash(entry.vm), entry);
    for (const auto &[vm, peer] : m_peers)
        m_gatewaysByHash.insert_or_assign(vmHash(vm), peer.entry);
}

/// Updates when other gateways were last seen from a peer's report. The reported ages are rounded
/// up, so that a report passed around in a circle never makes a gateway seem more recently alive.
void GatewayPeers::applyLiveGateways(const std::vector<CompactLiveGateway> &gateways, Time now)
{
    updateHashIndex();
    for (const CompactLiveGateway &gateway : gateways) {
        const auto known = m_gatewaysByHash.find(gateway.vm);
        if (known == m_gatewaysByHash.end() || known->second.vm == m_options.self.vm)
            continue;
        const Time lastSeen = now - milliseconds(gateway.ageTenths * 100);
        const auto [it, isNew] = m_peers.try_emplace(
            known->second.vm, Peer{known->second, lastSeen, Time{}, Incarnation{}, 0});
        it->second.lastSeen = std::max(it->second.lastSeen, lastSeen);
    }
}

/// Adds gateways that a peer reported. They are considered lost after half of peerTimeout unless
/// they are seen in that time.
void GatewayPeers::addSample(const std::vector<GatewayEntry> &sample, Time now)
{
    for (const GatewayEntry &entry : sample) {
        if (entry.vm == m_options.self.vm || m_peers.size() >= maxPeers)
            continue;
        m_peers.try_emplace(entry.vm, Peer{entry, now - peerTimeout / 2, {}, {}, 0});
        m_gatewaysByHash.emplace(vmHash(entry.vm), entry);
    }
}

/// Addresses of all known gateways except this one; at most maxOtherGatewaysAge old.
const std::vector<Endpoint> &GatewayPeers::otherGateways()
{
    const Time now = RuntimeClock::now();
    const auto version = std::pair(m_peers.size(), m_state.roster().revision);
    if (m_otherGatewaysAt && now < *m_otherGatewaysAt + maxOtherGatewaysAge
        && m_otherGatewaysVersion == version)
        return m_otherGateways;
    m_otherGatewaysAt = now;
    m_otherGatewaysVersion = version;
    std::set<std::pair<std::string, std::uint16_t>> known;
    const auto add = [&](const Endpoint &at) { known.emplace(at.address, at.port); };
    std::ranges::for_each(m_options.seeds, add);
    for (const GatewayEntry &entry : m_state.roster().gateways)
        add(entry.address);
    for (const Peer &peer : m_peers | std::views::values)
        add(peer.entry.address);
    known.erase({m_options.self.address.address, m_options.self.address.port});
    m_otherGateways.clear();
    m_otherGateways.reserve(known.size());
    for (const auto &[address, port] : known)
        m_otherGateways.push_back({address, port});
    return m_otherGateways;
}

/// The targets of the next heartbeat, in rotation: as many gateways as its size allows.
std::vector<udp::endpoint> GatewayPeers::nextTargets(std::size_t bytes)
{
    const std::vector<Endpoint> &gateways = otherGateways();
    m_lastTargetCount = m_options.heartbeats.targetCount(bytes, gateways.size());
    std::vector<udp::endpoint> targets;
    for (std::size_t n = 0; n < m_lastTargetCount; ++n) {
        const Endpoint &next = gateways[m_nextTarget++ % gateways.size()];
        error_code ec;
        const auto ip = asio::ip::make_address(next.address, ec);
        if (!ec)
            targets.emplace_back(ip, next.port);
    }
    return targets;
}

void GatewayPeers::sendHeartbeats()
{
    const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
        + signMessage(m_options.keys, PeerMessageKind::Heartbeat, {},
                      encodeGatewayHeartbeat(makeHeartbeat()));
    const std::vector<udp::endpoint> targets = nextTargets(bytes.size());
    m_lastHeartbeatBytes = bytes.size();
    for (const udp::endpoint &target : targets)
        send(bytes, target);
}

/// Sends a datagram. One that is not sent, or lost, is made up for by the next heartbeat or report,
/// or by a timeout.
void GatewayPeers::send(const std::string &bytes, const udp::endpoint &to)
{
    error_code ec;
    m_udpSocket.send_to(asio::buffer(bytes), to, 0, ec);
    count(ec ? Counter::PeerDatagramsUnsent : Counter::PeerDatagramsSent);
}

void GatewayPeers::count(Counter counter, std::uint64_t n)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(counter, n);
}

void GatewayPeers::announce()
{
    const Time now = RuntimeClock::now();
    if (m_stopped || m_announcedAt + minAnnounceInterval > now)
        return;
    m_announcedAt = now;
    sendHeartbeats();
}

asio::awaitable<void> GatewayPeers::receiveLoop()
{
    while (!m_stopped)
        handleBatch(co_await m_inbox.read());
}

namespace {

/// The first byte is the message kind, which the authentication tag covers.
PeerMessageKind datagramKind(std::string_view bytes)
{
    return bytes.empty() ? PeerMessageKind::Heartbeat : static_cast<PeerMessageKind>(bytes.front());
}

} // namespace

std::optional<GatewayPeers::VerifiedDatagram> GatewayPeers::verify(const PeerDatagram &datagram)
{
    const std::string_view bytes = datagram.bytes;
    const PeerMessageKind kind = datagramKind(bytes);
    const auto message = verifyMessage(m_options.keys, kind, {},
                                       bytes.substr(std::min<std::size_t>(1, bytes.size())));
    if (message)
        return VerifiedDatagram{&datagram, kind, *message};
    rejectUnauthenticated("datagram", datagram.from.address().to_string());
    return std::nullopt;
}

/// Handles datagrams that arrived in this order. Of several heartbeats of a gateway only the newest
/// one matters, so a busy gateway saves the time for the others.
void GatewayPeers::handleBatch(const std::vector<PeerDatagram> &batch)
{
    count(Counter::PeerDatagramsReceived, batch.size());
    m_readStats.largestBatch = std::max(m_readStats.largestBatch, batch.size());
    std::set<udp::endpoint> heard;
    std::vector<VerifiedDatagram> pending; // the last one first
    for (const PeerDatagram &it : batch | std::views::reverse) {
        const bool isHeartbeat = datagramKind(it.bytes) == PeerMessageKind::Heartbeat;
        if (isHeartbeat && heard.contains(it.from)) {
            count(Counter::PeerDatagramsSuperseded);
            continue;
        }
        const auto verified = verify(it);
        if (verified)
            pending.push_back(*verified);
        if (verified && isHeartbeat)
            heard.insert(it.from);
    }
    std::ranges::for_each(pending | std::views::reverse,
                          [this](const VerifiedDatagram &it) { handleDatagram(it); });
}

void GatewayPeers::handleDatagram(const VerifiedDatagram &verified)
{
    const PeerDatagram &datagram = *verified.datagram;
    if (verified.kind != PeerMessageKind::Heartbeat) {
        if (const auto it = m_datagramHandlers.find(verified.kind); it != m_datagramHandlers.end())
            it->second(verified.kind, verified.message, datagram.from);
        return;
    }
    std::string reason;
    const auto heartbeat = decodeGatewayHeartbeat(verified.message, &reason);
    if (heartbeat)
        handleHeartbeat(*heartbeat, datagram.arrival);
    else
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

void GatewayPeers::onDatagram(std::initializer_list<PeerMessageKind> kinds,
                              const DatagramHandler &callback)
{
    for (const PeerMessageKind kind : kinds)
        m_datagramHandlers[kind] = callback;
}

std::set<GatewayIncarnation> GatewayPeers::recentIncarnations(Duration window) const
{
    const Time now = RuntimeClock::now();
    std::set<GatewayIncarnation> incarnations;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.lastReceived + window > now && peer.incarnation.value != 0)
            incarnations.insert({vm, peer.incarnation});
    }
    return incarnations;
}

std::map<VmName, GatewayEntry> GatewayPeers::fleet() const
{
    std::map<VmName, GatewayEntry> all{{m_options.self.vm, m_options.self}};
    for (const GatewayEntry &entry : m_state.roster().gateways)
        all.emplace(entry.vm, entry);
    for (const auto &[vm, peer] : m_peers)
        all.insert_or_assign(vm, peer.entry);
    return all;
}

void GatewayPeers::sendTo(const Endpoint &to, PeerMessageKind kind, std::string payload)
{
    error_code ec;
    const auto ip = asio::ip::make_address(to.address, ec);
    if (!ec)
        sendTo(udp::endpoint(ip, to.port), kind, std::move(payload));
}

void GatewayPeers::sendTo(const udp::endpoint &to, PeerMessageKind kind, std::string payload)
{
    send(static_cast<char>(kind) + signMessage(m_options.keys, kind, {}, std::move(payload)), to);
}

/// Counts and logs a message that no gateway of this fleet sent.
void GatewayPeers::rejectUnauthenticated(std::string_view what, const std::string &from)
{
    count(Counter::HostileFrames);
    LogLine(LogLevel::Warn, "peer-not-of-the-fleet").with("what", what).with("from", from);
}

/// True for a message that is replayed or older than the last one of the same incarnation.
bool GatewayPeers::isStale(const VmName &from, Incarnation incarnation,
                           std::uint64_t sequence) const
{
    const auto it = m_peers.find(from);
    return it != m_peers.end() && it->second.incarnation == incarnation
        && sequence <= it->second.sequence;
}

bool GatewayPeers::acceptSequence(const VmName &from, Incarnation incarnation,
                                  std::uint64_t sequence)
{
    if (isStale(from, incarnation, sequence))
        return false;
    const auto it = m_peers.find(from);
    if (it == m_peers.end())
        return true; // tracked from its first heartbeat on
    it->second.lastSeen = RuntimeClock::now();
    it->second.lastReceived = it->second.lastSeen;
    it->second.incarnation = incarnation;
    it->second.sequence = sequence;
    return true;
}

/// Records a peer's last heartbeat; returns when it was sent.
Time GatewayPeers::recordPeer(const GatewayHeartbeat &heartbeat, const ArrivalBounds &arrival)
{
    const auto [it, isNew] = m_peers.try_emplace(heartbeat.from.vm);
    Peer &peer = it->second;
    if (isNew)
        LogLine(LogLevel::Info, "peer-heard").with("peer", heartbeat.from.vm.text);
    if (peer.incarnation != heartbeat.incarnation)
        peer.clock = SenderClock();
    const Duration stamp = milliseconds(heartbeat.sentAtMs);
    peer.clock.received(stamp, arrival);
    const Time sentAt = peer.clock.sentAt(stamp);
    m_readStats.longestDelay = std::max(m_readStats.longestDelay, arrival.readAt - sentAt);
    peer.entry = heartbeat.from;
    peer.lastSeen = arrival.readAt;
    peer.lastReceived = arrival.readAt;
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    m_gatewaysByHash.insert_or_assign(vmHash(heartbeat.from.vm), heartbeat.from);
    return sentAt;
}

void GatewayPeers::handleHeartbeat(const GatewayHeartbeat &heartbeat, const ArrivalBounds &arrival)
{
    if (isStale(heartbeat.from.vm, heartbeat.incarnation, heartbeat.sequence))
        return;
    const Time now = arrival.readAt;
    const auto known = m_peers.find(heartbeat.from.vm);
    const bool isNewIncarnation =
        known == m_peers.end() || known->second.incarnation != heartbeat.incarnation;
    const Time sentAt = recordPeer(heartbeat, arrival);
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool isLost = peer.second.lastSeen + peerTimeout < now;
        if (isLost)
            LogLine(LogLevel::Warn, "peer-lost").with("peer", peer.first.text);
        return isLost;
    });
    if (isNewIncarnation && heartbeat.sequence <= maxStartSequence)
        sendTo(heartbeat.from.address, PeerMessageKind::Heartbeat,
               encodeGatewayHeartbeat(makeHeartbeat()));
    addSample(heartbeat.sample, now);
    applyLiveGateways(heartbeat.liveGateways, sentAt);
    m_state.compareEvacuations(heartbeat.evacuationRevision, heartbeat.evacuationChecksum);
    if (m_onQuarantineChecksum)
        m_onQuarantineChecksum(heartbeat.quarantineChecksum, heartbeat.from.address);
    m_time.recordClock(heartbeat.from.vm, heartbeat.clock, sentAt);
    m_state.setLiveGateways(m_peers.size() + 1);
    const Duration valid = m_options.heartbeats.loadLifetime(m_lastTargetCount, m_peers.size());
    m_state.upstreams().setPeerLoad(
        heartbeat.from.vm,
        {expandLoad(heartbeat.load, m_state.directory()), heartbeat.oldestPendingQuery}, now,
        valid);
    m_state.upstreams().addHints(expandHints(heartbeat.hints, m_state.directory()), now);
    m_state.learnLimits(expandLimits(heartbeat.limits, m_state.directory()), heartbeat.from.vm);
    m_state.learnLeaving(heartbeat.leaving, heartbeat.from.vm);
    HeardHeartbeat heard{heartbeat, {}};
    if (heartbeat.ageMs >= 0)
        heard.currentAt = sentAt - milliseconds(heartbeat.ageMs) - maxTransitTime;
    confirmState(heard);
    m_lag.heard(heartbeat.versions(), ownVersions(), now);
    fetchIfBehind(heard);
}

/// A peer that was current at some time and knows nothing newer than this gateway confirms that
/// this gateway was current then, too. If only peers with an equal state confirmed it, none would
/// while changes follow each other faster than they spread, and all gateways would begin to read
/// the store.
void GatewayPeers::confirmState(const HeardHeartbeat &heard)
{
    const bool isBehind = heard.heartbeat.versions().hasNewerState(ownVersions());
    if (!isBehind && heard.currentAt)
        m_state.confirmed(*heard.currentAt);
}

} // namespace reachlead

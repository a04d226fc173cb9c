// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/gatewaypeers.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>

#include "peer/messageauth.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t mostDatagram = 8192; ///< bytes; a beat has about 1 KB at most
constexpr std::size_t sampleSize =
    2; ///< gateways told in a beat: each learns of all in a few rounds
constexpr std::size_t mostPeers = 2000; ///< about 200 bytes each
constexpr Duration announcePause = milliseconds(50); ///< between beats out of turn
/// Between two makings of the list of all others, which costs a look-up of each.
constexpr Duration othersAge = seconds(2);
constexpr Duration transit = milliseconds(20); ///< most that a beat is under way, as a rule

auto keepError(error_code *ec)
{
    return asio::redirect_error(asio::use_awaitable, *ec);
}

} // namespace

GatewayPeers::GatewayPeers(asio::io_context &io, Options options, GatewayState &state)
    : m_io(io), m_options(std::move(options)), m_state(state), m_incarnation(makeIncarnation()),
      m_acceptor(io,
                 tcp::endpoint(asio::ip::make_address(m_options.self.address.address),
                               m_options.self.address.port)),
      m_udp(
          io,
          udp::endpoint(m_acceptor.local_endpoint().address(), m_acceptor.local_endpoint().port()))
{
    m_options.self.address.port = m_acceptor.local_endpoint().port();
    m_turn = m_random() % mostPeers;
    m_time.recordClock(m_options.self.vm, vmTimeOfDay(), RuntimeClock::now());
    m_state.setTimeOfDay([this] { return timeOfDay(); });
    asio::co_spawn(io, beatLoop(), asio::detached);
    asio::co_spawn(io, hearLoop(), asio::detached);
    asio::co_spawn(io, acceptLoop(), asio::detached);
}

void GatewayPeers::stop()
{
    m_stopped = true;
    error_code ec;
    m_udp.close(ec);
    m_acceptor.close(ec);
}

std::set<VmName> GatewayPeers::livePeers() const
{
    const Time now = RuntimeClock::now();
    std::set<VmName> live;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.heard + peerTimeout > now)
            live.insert(vm);
    }
    return live;
}

std::map<VmName, GatewayEntry> GatewayPeers::liveGateways() const
{
    const Time now = RuntimeClock::now();
    std::map<VmName, GatewayEntry> live{{m_options.self.vm, m_options.self}};
    for (const auto &[vm, peer] : m_peers) {
        if (peer.heard + peerTimeout > now)
            live.emplace(vm, peer.entry);
    }
    return live;
}

asio::awaitable<void> GatewayPeers::beatLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        sendBeats();
        const Time sent = RuntimeClock::now();
        const auto isNextDue = [&] {
            return m_options.heartbeats.isDue(RuntimeClock::now() - sent,
                                              m_state.upstreams().unreportedTokens(), m_lastBytes,
                                              m_peers.size());
        };
        while (!m_stopped && !isNextDue()) {
            error_code ec;
            timer.expires_after(
                std::min(HeartbeatBudget::checkInterval, m_options.heartbeats.interval));
            co_await timer.async_wait(keepError(&ec));
        }
    }
}

GatewayHeartbeat GatewayPeers::makeBeat()
{
    GatewayHeartbeat beat;
    beat.from = m_options.self;
    beat.incarnation = m_incarnation;
    beat.sequence = nextSequence();
    beat.configVersion = m_state.configVersion();
    beat.registryRevision = m_state.directory().revision();
    beat.evacuationRevision = m_state.evacuations().revision();
    beat.evacuationChecksum = m_state.evacuations().checksum();
    beat.rosterRevision = m_state.roster().revision;
    beat.clock = vmTimeOfDay();
    m_time.recordClock(m_options.self.vm, beat.clock, RuntimeClock::now());
    m_time.dropOld(RuntimeClock::now());
    if (const auto at = m_state.currentAt())
        beat.ageMs = static_cast<std::int32_t>(toMillis(RuntimeClock::now() - *at));
    beat.load = compactLoad(m_state.upstreams().ownLoad());
    beat.quarantineChecksum = m_state.crashes().checksum(RuntimeClock::now());
    beat.oldestPendingQuery = m_openAsks ? m_openAsks() : 0;
    m_state.upstreams().markReported();
    const Time now = RuntimeClock::now();
    const Duration span = m_options.heartbeats.hintWindow(m_lastTargets, others().size());
    beat.hints = compactHints(m_state.upstreams().recentHints(now, span));
    beat.limits = limitsToReport(now);
    beat.leaving = leavingToReport(now);
    // A limit takes no more bytes than two prompts, and an id than three; these give way to them.
    const std::size_t taken = 2 * beat.limits.size() + 3 * beat.leaving.size();
    beat.hints.resize(std::min(beat.hints.size(), UpstreamTable::maxHints - taken));
    if (beat.load.size() <= maxReportedLoads / 2) // a beat of the largest load has no room
        beat.liveGateways = livesToTell(now);
    if (++m_beats % heartbeatsPerSample != 1)
        return beat;
    std::vector<GatewayEntry> lately;
    for (const Peer &peer : m_peers | std::views::values) {
        if (peer.heard + peerTimeout / 2 > now)
            lately.push_back(peer.entry);
    }
    std::ranges::sample(lately, std::back_inserter(beat.sample), sampleSize, m_random);
    return beat;
}

std::vector<CompactLimit> GatewayPeers::limitsToReport(Time now, const std::set<UpstreamId> *of)
{
    const std::vector<LimitUpdate> recent = m_state.upstreams().limits().recent(now);
    std::vector<LimitUpdate> wanted;
    std::ranges::copy_if(recent, std::back_inserter(wanted), [of](const LimitUpdate &note) {
        return of == nullptr || of->contains(note.upstream);
    });
    std::vector<LimitUpdate> some;
    std::ranges::sample(wanted, std::back_inserter(some), maxReportedLimits, m_random);
    return compactLimits(some);
}

std::vector<UpstreamId> GatewayPeers::leavingToReport(Time now, const ServiceName *of)
{
    const UpstreamDirectory &directory = m_state.directory();
    std::vector<UpstreamId> wanted;
    std::ranges::copy_if(directory.leaving().recent(now), std::back_inserter(wanted),
                         [&](const UpstreamId &id) {
                             const UpstreamEntry *entry = directory.find(id);
                             return entry != nullptr && (of == nullptr || entry->service == *of);
                         });
    std::vector<UpstreamId> some;
    std::ranges::sample(wanted, std::back_inserter(some), maxReportedLeaving, m_random);
    return some;
}

/// Some gateways that live, where beats alone would not tell each of the others in time.
std::vector<CompactLiveGateway> GatewayPeers::livesToTell(Time now)
{
    std::vector<CompactLiveGateway> lives;
    if (m_peers.size() <= maxHeartbeatsPerRound * m_lastTargets)
        return lives;
    std::vector<CompactLiveGateway> all;
    for (const auto &[vm, peer] : m_peers) {
        const double tenths = std::ceil(toSeconds(now - peer.heard) * 10.0);
        if (peer.heard + peerTimeout > now + m_options.heartbeats.interval)
            all.push_back({vmHash(vm), static_cast<std::uint8_t>(std::max(0.0, tenths))});
    }
    std::ranges::sample(all, std::back_inserter(lives), maxReportedGateways, m_random);
    return lives;
}

/// Follows the roster.
void GatewayPeers::tagRegistered()
{
    const bool isSame = m_taggedAt == m_state.roster().revision;
    if (isSame && m_byTag.size() < 2 * mostPeers)
        return;
    m_taggedAt = m_state.roster().revision;
    m_byTag.clear();
    for (const GatewayEntry &entry : m_state.roster().gateways)
        m_byTag.emplace(vmHash(entry.vm), entry);
    for (const auto &[vm, peer] : m_peers)
        m_byTag.insert_or_assign(vmHash(vm), peer.entry);
}

/// Notes when others were heard last, by what a peer knows of it. Ages are rounded up, so that a
/// word that goes round makes nobody younger.
void GatewayPeers::takeLives(const std::vector<CompactLiveGateway> &lives, Time now)
{
    tagRegistered();
    for (const CompactLiveGateway &life : lives) {
        const auto known = m_byTag.find(life.vm);
        if (known == m_byTag.end() || known->second.vm == m_options.self.vm)
            continue;
        const Time heard = now - milliseconds(life.ageTenths * 100);
        const auto [it, fresh] = m_peers.try_emplace(
            known->second.vm, Peer{known->second, heard, Time{}, Incarnation{}, 0});
        it->second.heard = std::max(it->second.heard, heard);
    }
}

/// Takes up gateways that a peer heard; they count as silent unless they are heard in time.
void GatewayPeers::takeSample(const std::vector<GatewayEntry> &sample, Time now)
{
    for (const GatewayEntry &entry : sample) {
        if (entry.vm == m_options.self.vm || m_peers.size() >= mostPeers)
            continue;
        m_peers.try_emplace(entry.vm, Peer{entry, now - peerTimeout / 2, {}, {}, 0});
        m_byTag.emplace(vmHash(entry.vm), entry);
    }
}

/// All known gateways but this one, as of a short while ago.
const std::vector<Endpoint> &GatewayPeers::others()
{
    const Time now = RuntimeClock::now();
    const auto madeOf = std::pair(m_peers.size(), m_state.roster().revision);
    if (m_othersAt && now < *m_othersAt + othersAge && m_othersOf == madeOf)
        return m_others;
    m_othersAt = now;
    m_othersOf = madeOf;
    std::set<std::pair<std::string, std::uint16_t>> known;
    const auto add = [&](const Endpoint &at) { known.emplace(at.address, at.port); };
    std::ranges::for_each(m_options.seeds, add);
    for (const GatewayEntry &entry : m_state.roster().gateways)
        add(entry.address);
    for (const Peer &peer : m_peers | std::views::values)
        add(peer.entry.address);
    known.erase({m_options.self.address.address, m_options.self.address.port});
    m_others.clear();
    m_others.reserve(known.size());
    for (const auto &[address, port] : known)
        m_others.push_back({address, port});
    return m_others;
}

/// The gateways that the next beat goes to: as many as its size allows, in turn.
std::vector<udp::endpoint> GatewayPeers::nextTargets(std::size_t bytes)
{
    const std::vector<Endpoint> &all = others();
    m_lastTargets = m_options.heartbeats.targetCount(bytes, all.size());
    std::vector<udp::endpoint> targets;
    for (std::size_t n = 0; n < m_lastTargets; ++n) {
        const Endpoint &next = all[m_turn++ % all.size()];
        error_code ec;
        const auto number = asio::ip::make_address(next.address, ec);
        if (!ec)
            targets.emplace_back(number, next.port);
    }
    return targets;
}

void GatewayPeers::sendBeats()
{
    const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
        + signMessage(m_options.keys, PeerMessageKind::Heartbeat, {},
                      encodeGatewayHeartbeat(makeBeat()));
    const std::vector<udp::endpoint> targets = nextTargets(bytes.size());
    m_lastBytes = bytes.size();
    for (const udp::endpoint &target : targets) {
        error_code ec; // a datagram that cannot leave now is made up for by the next beat
        m_udp.send_to(asio::buffer(bytes), target, 0, ec);
    }
}

void GatewayPeers::announce()
{
    const Time now = RuntimeClock::now();
    if (m_stopped || m_announcedAt + announcePause > now)
        return;
    m_announcedAt = now;
    sendBeats();
}

asio::awaitable<void> GatewayPeers::hearLoop()
{
    std::vector<char> buf(mostDatagram);
    while (!m_stopped) {
        error_code ec;
        udp::endpoint from;
        const std::size_t n =
            co_await m_udp.async_receive_from(asio::buffer(buf), from, keepError(&ec));
        if (ec)
            continue;
        takeDatagram(std::string_view(buf.data(), n), from);
    }
}

/// The first byte names the kind, which the proof covers.
void GatewayPeers::takeDatagram(std::string_view bytes, const udp::endpoint &from)
{
    const auto kind =
        bytes.empty() ? PeerMessageKind::Heartbeat : static_cast<PeerMessageKind>(bytes.front());
    const auto message = verifyMessage(m_options.keys, kind, {},
                                       bytes.substr(std::min<std::size_t>(1, bytes.size())));
    if (!message) {
        refuseStranger("datagram", from.address().to_string());
        return;
    }
    if (kind != PeerMessageKind::Heartbeat) {
        if (const auto it = m_takers.find(kind); it != m_takers.end())
            it->second(kind, *message, from);
        return;
    }
    std::string reason;
    const auto beat = decodeGatewayHeartbeat(*message, &reason);
    if (beat)
        take(*beat);
    else
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

void GatewayPeers::onDatagram(std::initializer_list<PeerMessageKind> kinds,
                              const DatagramHandler &callback)
{
    for (const PeerMessageKind kind : kinds)
        m_takers[kind] = callback;
}

std::set<GatewayIncarnation> GatewayPeers::recentIncarnations(Duration span) const
{
    const Time now = RuntimeClock::now();
    std::set<GatewayIncarnation> lives;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.heardDirectly + span > now && peer.incarnation.value != 0)
            lives.insert({vm, peer.incarnation});
    }
    return lives;
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
    const auto number = asio::ip::make_address(to.address, ec);
    if (!ec)
        sendTo(udp::endpoint(number, to.port), kind, std::move(payload));
}

void GatewayPeers::sendTo(const udp::endpoint &to, PeerMessageKind kind, std::string payload)
{
    const std::string bytes =
        static_cast<char>(kind) + signMessage(m_options.keys, kind, {}, std::move(payload));
    error_code ec; // what cannot leave now is made up for by the next report, or by a time-out
    m_udp.send_to(asio::buffer(bytes), to, 0, ec);
}

/// Counts and tells of bytes that no gateway of this fleet sent.
void GatewayPeers::refuseStranger(std::string_view what, const std::string &from)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(Counter::HostileFrames);
    LogLine(LogLevel::Warn, "peer-not-of-the-fleet").with("what", what).with("from", from);
}

/// True for a beat that a later one of the same life overtook, and for one that is played again.
bool GatewayPeers::isOld(const VmName &from, Incarnation incarnation, std::uint64_t sequence) const
{
    const auto it = m_peers.find(from);
    return it != m_peers.end() && it->second.incarnation == incarnation
        && sequence <= it->second.sequence;
}

bool GatewayPeers::acceptSequence(const VmName &from, Incarnation incarnation,
                                  std::uint64_t sequence)
{
    if (isOld(from, incarnation, sequence))
        return false;
    const auto it = m_peers.find(from);
    if (it == m_peers.end())
        return true; // known from its first beat on
    it->second.heard = RuntimeClock::now();
    it->second.heardDirectly = it->second.heard;
    it->second.incarnation = incarnation;
    it->second.sequence = sequence;
    return true;
}

bool GatewayPeers::isBehind(const GatewayHeartbeat &beat) const
{
    return beat.configVersion > m_state.configVersion()
        || beat.registryRevision > m_state.directory().revision()
        || beat.evacuationRevision > m_state.evacuations().readRevision();
}

void GatewayPeers::take(const GatewayHeartbeat &beat)
{
    if (isOld(beat.from.vm, beat.incarnation, beat.sequence))
        return;
    const Time now = RuntimeClock::now();
    const bool fresh = !m_peers.contains(beat.from.vm);
    m_peers[beat.from.vm] = Peer{beat.from, now, now, beat.incarnation, beat.sequence};
    m_byTag.insert_or_assign(vmHash(beat.from.vm), beat.from);
    std::erase_if(m_peers, [&](const auto &peer) {
        const bool gone = peer.second.heard + peerTimeout < now;
        if (gone)
            LogLine(LogLevel::Warn, "peer-lost").with("peer", peer.first.text);
        return gone;
    });
    if (fresh)
        LogLine(LogLevel::Info, "peer-heard").with("peer", beat.from.vm.text);
    takeSample(beat.sample, now);
    takeLives(beat.liveGateways, now);
    m_state.compareEvacuations(beat.evacuationRevision, beat.evacuationChecksum);
    if (m_onMark)
        m_onMark(beat.quarantineChecksum, beat.from.address);
    m_time.recordClock(beat.from.vm, beat.clock, now);
    m_state.setLiveGateways(m_peers.size() + 1);
    const Duration valid = m_options.heartbeats.loadLifetime(m_lastTargets, m_peers.size());
    m_state.upstreams().setPeerLoad(
        beat.from.vm, {expandLoad(beat.load, m_state.directory()), beat.oldestPendingQuery}, now,
        valid);
    m_state.upstreams().addHints(expandHints(beat.hints, m_state.directory()), now);
    m_state.learnLimits(expandLimits(beat.limits, m_state.directory()), beat.from.vm);
    m_state.learnLeaving(beat.leaving, beat.from.vm);
    const bool isBehindNow = isBehind(beat);
    if (!isBehindNow)
        takeVouch(beat, now);
    // The list of gateways is no part of what a peer vouches for: calls do not depend on it.
    if (!isBehindNow && beat.rosterRevision <= m_state.roster().revision) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool watches = m_state.directory().inContact() && m_state.shouldWatch(livePeers());
    const bool waits = watches && *m_behindSince + peerFetchDelay > now;
    if (!waits && !m_fetching)
        asio::co_spawn(m_io, fetchNews(beat), asio::detached);
}

/// Whoever knows no more than this gateway and was current at a time vouches that this one was.
/// Were only equal states to vouch, nobody would while changes follow each other faster than they
/// spread: 100 gateways then began to read the store within half a second.
void GatewayPeers::takeVouch(const GatewayHeartbeat &beat, Time heardAt)
{
    if (!isBehind(beat) && beat.ageMs != GatewayHeartbeat::unknownAge)
        m_state.confirmed(heardAt - milliseconds(beat.ageMs) - transit);
}

} // namespace reachlead

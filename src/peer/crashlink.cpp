// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/crashlink.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/vector.hpp>
#include <xxhash.h>

#include <reachlead/log.h>

#include "peer/payload.h"

namespace reachlead {

std::vector<VmName> selectCollectors(const ContentDigest &key, const std::vector<VmName> &all,
                                     std::size_t n)
{
    std::vector<std::pair<std::uint64_t, VmName>> scored;
    scored.reserve(all.size());
    std::ranges::transform(all, std::back_inserter(scored), [&](const VmName &vm) {
        return std::pair(XXH64(vm.text.data(), vm.text.size(), key.secureHash), vm);
    });
    std::ranges::sort(scored);
    scored.resize(std::min(n, scored.size()));
    std::vector<VmName> first;
    std::ranges::transform(scored, std::back_inserter(first), [](auto &it) { return it.second; });
    return first;
}

bool DatagramBudget::take(Time now)
{
    if (now - m_since >= seconds(1)) {
        m_since = now;
        m_taken = 0;
    }
    if (m_taken >= m_perSecond)
        return false;
    ++m_taken;
    return true;
}

const std::array<CrashLink::HandlerRow, 5> CrashLink::handlers{
    {{PeerMessageKind::CrashReport, &CrashLink::handleCrashReport},
     {PeerMessageKind::Quarantine, &CrashLink::handleQuarantine},
     {PeerMessageKind::PartCrashReport, &CrashLink::handlePartCrashReport},
     {PeerMessageKind::PartAnnouncement, &CrashLink::handlePartAnnouncement},
     {PeerMessageKind::PartBegin, &CrashLink::handlePartBegin}}};

CrashLink::CrashLink(boost::asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                     Counters *counters, Publish publish)
    : m_state(state), m_peers(peers), m_counters(counters), m_publish(std::move(publish)),
      m_decisionTimer(io)
{
    m_peers.onDatagram({PeerMessageKind::CrashReport, PeerMessageKind::Quarantine,
                        PeerMessageKind::PartCrashReport, PeerMessageKind::PartAnnouncement,
                        PeerMessageKind::PartBegin},
                       [this](PeerMessageKind kind, std::string_view message,
                              const UdpEndpoint &from) { handleDatagram(kind, message, from); });
    m_peers.onQuarantineChecksum(
        [this](std::uint64_t checksum, const Endpoint &peer) { compareChecksum(checksum, peer); });
}

void CrashLink::upstreamCrashed(const std::vector<LostCall> &calls, const UpstreamId &upstream)
{
    for (const LostCall &call : calls)
        report({call.request, upstreamHash(upstream)});
    reportParts(calls, upstream);
}

void CrashLink::requestCompleted(const ContentDigest &request)
{
    report({request, std::nullopt});
}

void CrashLink::report(const CrashReport &crash)
{
    applyReport(crash);
    sendToCollectors(crash.request, PeerMessageKind::CrashReport, pvt::encodePayload(crash));
}

/// Reports the calls that had not begun, one report for each account and model. Parts on which the
/// upstream had begun to answer did not crash it.
void CrashLink::reportParts(const std::vector<LostCall> &calls, const UpstreamId &upstream)
{
    PartSet begun;
    for (const LostCall &call : calls) {
        if (call.hasBegun)
            begun.insert(call.prompt.parts.begin(), call.prompt.parts.end());
    }
    std::map<ContentDigest, PartCrashReport> reports;
    const Time now = RuntimeClock::now();
    const auto ageMs = [now](Time at) { return static_cast<std::uint32_t>(toMillis(now - at)); };
    for (const LostCall &call : calls) {
        PartSet parts(call.prompt.parts.begin(), call.prompt.parts.end());
        std::erase_if(parts, [&](const ContentDigest &it) { return begun.contains(it); });
        PartCrashReport &it = reports[call.prompt.owner];
        if (call.hasBegun || parts.empty() || it.calls.size() >= maxReportedCalls)
            continue;
        it.upstream = upstreamHash(upstream);
        it.calls.push_back({std::move(parts), ageMs(call.times.sentAt), ageMs(call.times.lostAt)});
    }
    for (const auto &[owner, it] : reports) {
        if (it.calls.empty())
            continue;
        applyPartReport(it);
        if (m_partReports.take(now))
            sendToCollectors(owner, PeerMessageKind::PartCrashReport, pvt::encodePayload(it));
    }
}

void CrashLink::partsBegan(const PromptContents &prompt)
{
    CrashTracker &tracker = m_state.crashes();
    const Time now = RuntimeClock::now();
    const PartSet cleared = tracker.parts().recordBegin(prompt.parts, now);
    for (const Quarantine &it : tracker.releaseParts(prompt.parts, now))
        releaseQuarantine(it);
    if (cleared.empty())
        return;
    const std::vector<ContentDigest> parts(cleared.begin(), cleared.end());
    const std::string payload = pvt::encodePayload(parts);
    sendToCollectors(prompt.owner, PeerMessageKind::PartBegin, payload);
    for (const UdpEndpoint &announcer : m_announcers | std::views::keys)
        m_peers.sendTo(announcer, PeerMessageKind::PartBegin, payload);
    decideOnParts();
}

void CrashLink::sendToCollectors(const ContentDigest &key, PeerMessageKind kind,
                                 const std::string &payload)
{
    const std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    std::vector<VmName> names;
    std::ranges::copy(fleet | std::views::keys, std::back_inserter(names));
    for (const VmName &vm : selectCollectors(key, names, collectorCount)) {
        if (vm != m_state.vm())
            m_peers.sendTo(fleet.at(vm).address, kind, payload);
    }
}

void CrashLink::sendToAll(PeerMessageKind kind, const std::string &payload)
{
    for (const auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_state.vm())
            m_peers.sendTo(entry.address, kind, payload);
    }
}

void CrashLink::applyReport(const CrashReport &report)
{
    CrashTracker &tracker = m_state.crashes();
    if (!report.crashedUpstream) {
        tracker.recordCompletion(report.request);
        return;
    }
    if (!tracker.recordCrash(report.request, *report.crashedUpstream, RuntimeClock::now()))
        return;
    const auto leftMs = static_cast<std::uint32_t>(toMillis(CrashTracker::quarantineDuration));
    startQuarantine({{report.request}, leftMs});
}

void CrashLink::applyPartReport(const PartCrashReport &report)
{
    const Time now = RuntimeClock::now();
    for (const PartCrashReport::Call &call : report.calls)
        m_state.crashes().parts().recordCrash(
            call.parts, report.upstream,
            {now - milliseconds(call.sentAgeMs), now - milliseconds(call.lostAgeMs)});
    announceParts();
    decideOnParts();
}

/// Asks other gateways to report answers that begin on parts which came under suspicion.
void CrashLink::announceParts()
{
    const Time now = RuntimeClock::now();
    PartSuspects &parts = m_state.crashes().parts();
    if (!parts.hasAnnouncements() || !m_announcements.take(now))
        return;
    const std::string payload = pvt::encodePayload(parts.takeAnnouncements(now));
    std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    fleet.erase(m_state.vm());
    std::vector<GatewayEntry> sample;
    std::ranges::sample(fleet | std::views::values, std::back_inserter(sample),
                        static_cast<std::ptrdiff_t>(maxAnnounced), m_random);
    for (const GatewayEntry &it : sample)
        m_peers.sendTo(it.address, PeerMessageKind::PartAnnouncement, payload);
}

/// Quarantines the parts that the evidence is sufficient for.
void CrashLink::decideOnParts()
{
    CrashTracker &tracker = m_state.crashes();
    const Time now = RuntimeClock::now();
    for (const PartSet &parts : tracker.parts().takeSuspects(now)) {
        if (const auto quarantine = tracker.quarantineParts(parts, now))
            startQuarantine(*quarantine);
    }
    decideLater();
}

void CrashLink::decideLater()
{
    const std::optional<Time> at = m_state.crashes().parts().nextDecision();
    if (!at)
        return;
    m_decisionTimer.expires_at(*at);
    m_decisionTimer.async_wait(
        [this, alive = std::weak_ptr(m_lifetime)](const boost::system::error_code &ec) {
            if (!ec && !alive.expired())
                decideOnParts();
        });
}

/// Starts a quarantine at all gateways.
void CrashLink::startQuarantine(const Quarantine &quarantine)
{
    LogLine(LogLevel::Warn, "quarantine-began")
        .with("request", toString(quarantineId(quarantine.contents)))
        .with("contents", quarantine.contents.size())
        .with("ended", CrashTracker::crashLimit)
        .with("left_ms", quarantine.leftMs);
    if (m_counters != nullptr)
        m_counters->add(Counter::QuarantinesStarted);
    sendToAll(PeerMessageKind::Quarantine, pvt::encodePayload(std::vector{quarantine}));
    m_state.quarantineStarted();
    if (m_publish)
        m_publish(quarantine);
}

/// Ends a quarantine at all gateways.
void CrashLink::releaseQuarantine(const Quarantine &quarantine)
{
    LogLine(LogLevel::Warn, "quarantine-released")
        .with("request", toString(quarantineId(quarantine.contents)))
        .with("contents", quarantine.contents.size())
        .with("source", "answer");
    if (m_counters != nullptr)
        m_counters->add(Counter::QuarantinesReleased);
    sendToAll(PeerMessageKind::Quarantine, pvt::encodePayload(std::vector{quarantine}));
    if (m_publish)
        m_publish(quarantine);
}

void CrashLink::compareChecksum(std::uint64_t checksum, const Endpoint &peer)
{
    const CrashTracker &tracker = m_state.crashes();
    const Time now = RuntimeClock::now();
    if (checksum == tracker.checksum(now) || tracker.isQuarantineEmpty(now))
        return;
    m_peers.sendTo(peer, PeerMessageKind::Quarantine, pvt::encodePayload(tracker.quarantines(now)));
}

void CrashLink::handleDatagram(PeerMessageKind kind, std::string_view message,
                               const UdpEndpoint &from)
{
    const auto row = std::ranges::find(handlers, kind, &HandlerRow::kind);
    if (row == handlers.end())
        return;
    std::string reason;
    (this->*row->handle)(message, from, &reason);
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

/// Keeps the latest announcers, as long as parts that they announced.
void CrashLink::recordAnnouncer(const UdpEndpoint &announcer)
{
    const Time now = RuntimeClock::now();
    m_announcers[announcer] = now;
    std::erase_if(m_announcers, [&](const auto &it) {
        return it.second + PartSuspects::announcementRetention < now;
    });
    if (m_announcers.size() > maxAnnouncers)
        m_announcers.erase(
            std::ranges::min_element(m_announcers, {}, [](const auto &it) { return it.second; }));
}

void CrashLink::handleCrashReport(std::string_view message, const UdpEndpoint & /*from*/,
                                  std::string *reason)
{
    if (const auto report = pvt::decodePayload<CrashReport>(message, reason))
        applyReport(*report);
}

void CrashLink::handlePartCrashReport(std::string_view message, const UdpEndpoint & /*from*/,
                                      std::string *reason)
{
    if (const auto report = pvt::decodePayload<PartCrashReport>(message, reason))
        applyPartReport(*report);
}

/// Reports at once which of the parts began here lately: no upstream may be left to begin on them.
void CrashLink::handlePartAnnouncement(std::string_view message, const UdpEndpoint &from,
                                       std::string *reason)
{
    const auto parts = pvt::decodePayload<std::vector<ContentDigest>>(message, reason);
    if (!parts)
        return;
    recordAnnouncer(from);
    const Time now = RuntimeClock::now();
    PartSuspects &suspects = m_state.crashes().parts();
    std::vector<ContentDigest> begun;
    for (const ContentDigest &it : *parts) {
        if (suspects.hasBegunLately(it, now))
            begun.push_back(it);
        suspects.recordAnnouncement(it, now);
    }
    if (!begun.empty())
        m_peers.sendTo(from, PeerMessageKind::PartBegin, pvt::encodePayload(begun));
}

void CrashLink::handlePartBegin(std::string_view message, const UdpEndpoint & /*from*/,
                                std::string *reason)
{
    const auto parts = pvt::decodePayload<std::vector<ContentDigest>>(message, reason);
    if (!parts)
        return;
    m_state.crashes().parts().recordBegin(*parts, RuntimeClock::now());
    decideOnParts();
}

void CrashLink::handleQuarantine(std::string_view message, const UdpEndpoint & /*from*/,
                                 std::string *reason)
{
    if (const auto quarantines = pvt::decodePayload<std::vector<Quarantine>>(message, reason))
        m_state.learnQuarantines(*quarantines, "peer");
}

} // namespace reachlead

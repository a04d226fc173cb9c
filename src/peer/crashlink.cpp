// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/crashlink.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>
#include <xxhash.h>

#include <reachlead/log.h>

#include "peer/payload.h"

namespace reachlead {

std::vector<VmName> selectCollectors(const ContentDigest &request, const std::vector<VmName> &all,
                                     std::size_t n)
{
    std::vector<std::pair<std::uint64_t, VmName>> scored;
    scored.reserve(all.size());
    std::ranges::transform(all, std::back_inserter(scored), [&](const VmName &vm) {
        return std::pair(XXH64(vm.text.data(), vm.text.size(), request.secureHash), vm);
    });
    std::ranges::sort(scored);
    scored.resize(std::min(n, scored.size()));
    std::vector<VmName> first;
    std::ranges::transform(scored, std::back_inserter(first), [](auto &it) { return it.second; });
    return first;
}

CrashLink::CrashLink(GatewayState &state, GatewayPeers &peers, Counters *counters, Publish publish)
    : m_state(state), m_peers(peers), m_counters(counters), m_publish(std::move(publish))
{
    m_peers.onDatagram({PeerMessageKind::CrashReport, PeerMessageKind::Quarantine},
                       [this](PeerMessageKind kind, std::string_view message,
                              const UdpEndpoint & /*from*/) { handleDatagram(kind, message); });
    m_peers.onQuarantineChecksum(
        [this](std::uint64_t checksum, const Endpoint &peer) { compareChecksum(checksum, peer); });
}

void CrashLink::upstreamCrashed(const ContentDigest &request, const UpstreamId &upstream)
{
    const CrashReport report{request, upstreamHash(upstream)};
    applyReport(report);
    sendToCollectors(report);
}

void CrashLink::requestCompleted(const ContentDigest &request)
{
    const CrashReport report{request, std::nullopt};
    applyReport(report);
    sendToCollectors(report);
}

void CrashLink::sendToCollectors(const CrashReport &report)
{
    const std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    std::vector<VmName> names;
    std::ranges::copy(fleet | std::views::keys, std::back_inserter(names));
    const std::string payload = pvt::encodePayload(report);
    for (const VmName &vm : selectCollectors(report.request, names, collectorCount)) {
        if (vm != m_state.vm())
            m_peers.sendTo(fleet.at(vm).address, PeerMessageKind::CrashReport, payload);
    }
}

void CrashLink::applyReport(const CrashReport &report)
{
    CrashTracker &tracker = m_state.crashes();
    if (!report.crashedUpstream) {
        tracker.recordCompletion(report.request);
        return;
    }
    if (tracker.recordCrash(report.request, *report.crashedUpstream, RuntimeClock::now()))
        startQuarantine(report.request);
}

/// Starts the quarantine of a request at all gateways.
void CrashLink::startQuarantine(const ContentDigest &request)
{
    const auto leftMs = static_cast<std::uint32_t>(toMillis(CrashTracker::quarantineDuration));
    LogLine(LogLevel::Warn, "quarantine-began")
        .with("request", toString(request))
        .with("ended", CrashTracker::crashLimit)
        .with("left_ms", leftMs);
    if (m_counters != nullptr)
        m_counters->add(Counter::QuarantinesStarted);
    const Quarantine quarantined{request, leftMs};
    const std::string payload = pvt::encodePayload(std::vector{quarantined});
    for (const auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_state.vm())
            m_peers.sendTo(entry.address, PeerMessageKind::Quarantine, payload);
    }
    if (m_publish)
        m_publish(quarantined);
}

void CrashLink::mergeQuarantine(const std::vector<Quarantine> &requests)
{
    m_state.learnQuarantine(requests, "peer");
}

void CrashLink::compareChecksum(std::uint64_t checksum, const Endpoint &peer)
{
    const CrashTracker &tracker = m_state.crashes();
    const Time now = RuntimeClock::now();
    if (checksum == tracker.checksum(now) || tracker.isQuarantineEmpty(now))
        return;
    m_peers.sendTo(peer, PeerMessageKind::Quarantine, pvt::encodePayload(tracker.quarantined(now)));
}

void CrashLink::handleDatagram(PeerMessageKind kind, std::string_view message)
{
    std::string reason;
    if (kind == PeerMessageKind::CrashReport) {
        if (const auto report = pvt::decodePayload<CrashReport>(message, &reason))
            applyReport(*report);
    } else {
        using Requests = std::vector<Quarantine>;
        if (const auto requests = pvt::decodePayload<Requests>(message, &reason))
            mergeQuarantine(*requests);
    }
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

} // namespace reachlead

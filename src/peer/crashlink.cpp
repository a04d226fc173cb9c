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

std::vector<VmName> selectCollectors(const RequestDigest &request, const std::vector<VmName> &all,
                                     std::size_t n)
{
    std::vector<std::pair<std::uint64_t, VmName>> ranked;
    ranked.reserve(all.size());
    std::ranges::transform(all, std::back_inserter(ranked), [&](const VmName &vm) {
        return std::pair(XXH64(vm.text.data(), vm.text.size(), request.secureHash), vm);
    });
    std::ranges::sort(ranked);
    ranked.resize(std::min(n, ranked.size()));
    std::vector<VmName> first;
    std::ranges::transform(ranked, std::back_inserter(first), [](auto &it) { return it.second; });
    return first;
}

CrashLink::CrashLink(GatewayState &state, GatewayPeers &peers, Counters *counters, Publish publish)
    : m_state(state), m_peers(peers), m_counters(counters), m_publish(std::move(publish))
{
    m_peers.onDatagram({PeerMessageKind::CrashReport, PeerMessageKind::Quarantine},
                       [this](PeerMessageKind kind, std::string_view message,
                              const UdpEndpoint & /*from*/) { take(kind, message); });
    m_peers.onQuarantineChecksum(
        [this](std::uint64_t mark, const Endpoint &peer) { compareMark(mark, peer); });
}

void CrashLink::upstreamCrashed(const RequestDigest &request, const UpstreamId &upstream)
{
    const CrashReport word{request, upstreamHash(upstream)};
    takeWord(word);
    tellCollectors(word);
}

void CrashLink::requestCompleted(const RequestDigest &request)
{
    const CrashReport word{request, std::nullopt};
    takeWord(word);
    tellCollectors(word);
}

void CrashLink::tellCollectors(const CrashReport &word)
{
    const std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    std::vector<VmName> names;
    std::ranges::copy(fleet | std::views::keys, std::back_inserter(names));
    const std::string payload = pvt::encodePayload(word);
    for (const VmName &vm : selectCollectors(word.request, names, collectorCount)) {
        if (vm != m_state.vm())
            m_peers.sendTo(fleet.at(vm).address, PeerMessageKind::CrashReport, payload);
    }
}

void CrashLink::takeWord(const CrashReport &word)
{
    CrashTracker &book = m_state.crashes();
    if (!word.crashedUpstream) {
        book.recordCompletion(word.request);
        return;
    }
    if (book.recordCrash(word.request, *word.crashedUpstream, RuntimeClock::now()))
        begin(word.request);
}

/// Puts a request into quarantine everywhere.
void CrashLink::begin(const RequestDigest &request)
{
    const auto leftMs = static_cast<std::uint32_t>(toMillis(CrashTracker::quarantineDuration));
    LogLine(LogLevel::Warn, "quarantine-began")
        .with("request", toString(request))
        .with("ended", CrashTracker::crashLimit)
        .with("left_ms", leftMs);
    if (m_counters != nullptr)
        m_counters->add(Counter::QuarantinesStarted);
    const QuarantinedRequest quarantined{request, leftMs};
    const std::string payload = pvt::encodePayload(std::vector{quarantined});
    for (const auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_state.vm())
            m_peers.sendTo(entry.address, PeerMessageKind::Quarantine, payload);
    }
    if (m_publish)
        m_publish(quarantined);
}

void CrashLink::takeQuarantine(const std::vector<QuarantinedRequest> &told)
{
    m_state.learnQuarantine(told, "peer");
}

void CrashLink::compareMark(std::uint64_t mark, const Endpoint &peer)
{
    const CrashTracker &book = m_state.crashes();
    const Time now = RuntimeClock::now();
    if (mark == book.checksum(now) || book.isQuarantineEmpty(now))
        return;
    m_peers.sendTo(peer, PeerMessageKind::Quarantine, pvt::encodePayload(book.quarantined(now)));
}

void CrashLink::take(PeerMessageKind kind, std::string_view message)
{
    std::string reason;
    if (kind == PeerMessageKind::CrashReport) {
        if (const auto word = pvt::decodePayload<CrashReport>(message, &reason))
            takeWord(*word);
    } else {
        using Told = std::vector<QuarantinedRequest>;
        if (const auto told = pvt::decodePayload<Told>(message, &reason))
            takeQuarantine(*told);
    }
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

} // namespace reachlead

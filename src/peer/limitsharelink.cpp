// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/limitsharelink.h"

#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>

#include "peer/payload.h"

namespace reachlead {

namespace asio = boost::asio;

LimitShareLink::LimitShareLink(asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                               Counters *counters)
    : m_io(io), m_state(state), m_peers(peers), m_counters(counters)
{
    m_peers.onDatagram({PeerMessageKind::LimitShareRequest},
                       [this](PeerMessageKind, std::string_view message, const UdpEndpoint &from) {
                           handleRequest(message, from);
                       });
    m_peers.onDatagram({PeerMessageKind::LimitShareGrant},
                       [this](PeerMessageKind, std::string_view message, const UdpEndpoint &) {
                           handleGrant(message);
                       });
    asio::co_spawn(io, requestLoop(), asio::detached);
}

asio::awaitable<void> LimitShareLink::requestLoop()
{
    Timer timer(m_io);
    while (!m_stopped && !m_peers.isStopped()) {
        boost::system::error_code ec;
        timer.expires_after(interval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (!m_stopped && !m_state.upstreams().limits().isEmpty())
            sendRequests(RuntimeClock::now());
    }
}

void LimitShareLink::sendRequests(Time now)
{
    const std::vector<LimitNeed> needs = m_state.upstreams().limitNeeds(now);
    if (needs.empty())
        return;
    const std::map<VmName, GatewayEntry> gateways = m_peers.liveGateways();
    const std::vector<LimitShares::Request> requests =
        m_state.upstreams().limitShares().makeRequests({m_state.vm(), m_peers.incarnation()}, needs,
                                                       m_peers.livePeers(), maxRequests, now);
    for (const auto &[lender, request] : requests) {
        const auto it = gateways.find(lender);
        if (it == gateways.end())
            continue;
        m_peers.sendTo(it->second.address, PeerMessageKind::LimitShareRequest,
                       pvt::encodePayload(request));
        count(Counter::LimitSharesRequested);
    }
}

void LimitShareLink::handleRequest(std::string_view message, const UdpEndpoint &from)
{
    std::string reason;
    const auto request = pvt::decodePayload<LimitShareRequest>(message, &reason);
    if (!request) {
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
        return;
    }
    const Time now = RuntimeClock::now();
    UpstreamTable &upstreams = m_state.upstreams();
    const auto grant = upstreams.limitShares().lend(
        m_state.vm(), *request,
        [&](const UpstreamId &id, CallRate limit) { return upstreams.neededShare(id, limit, now); },
        now);
    if (!grant)
        return;
    m_peers.sendTo(from, PeerMessageKind::LimitShareGrant, pvt::encodePayload(*grant));
    count(Counter::LimitSharesLent);
    for (const LimitShareGrant::Loan &loan : grant->loans)
        logShares(loan.upstream, now);
}

void LimitShareLink::handleGrant(std::string_view message)
{
    std::string reason;
    const auto grant = pvt::decodePayload<LimitShareGrant>(message, &reason);
    if (!grant) {
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
        return;
    }
    const Time now = RuntimeClock::now();
    if (!m_state.upstreams().limitShares().borrow(*grant, now))
        return;
    count(Counter::LimitSharesBorrowed);
    for (const LimitShareGrant::Loan &loan : grant->loans)
        logShares(loan.upstream, now);
}

/// Logs what this gateway may use of a limit, after a change.
void LimitShareLink::logShares(const UpstreamId &id, Time now)
{
    std::erase_if(m_loggedAt, [&](const auto &it) { return it.second + logInterval <= now; });
    if (!m_loggedAt.emplace(id, now).second)
        return;
    const LimitShares &shares = m_state.upstreams().limitShares();
    LogLine(LogLevel::Info, "limit-shares")
        .with("upstream", id.text)
        .with("born", id.startedAt)
        .with("usable", shares.usable(id, now).fraction())
        .with("borrowed", shares.borrowed(id, now).fraction())
        .with("lent", shares.lent(id, now).fraction());
}

void LimitShareLink::count(Counter counter)
{
    if (m_counters != nullptr)
        m_counters->add(counter);
}

} // namespace reachlead

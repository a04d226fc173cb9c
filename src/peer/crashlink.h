// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateways' common knowledge of requests that end upstreams.

#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include <reachlead/counters.h>
#include <reachlead/crashtracker.h>
#include <reachlead/gatewaystate.h>

#include "peer/gatewaypeers.h"

namespace reachlead {

/// What a gateway tells of one request to those that count for it.
struct CrashReport
{
    RequestDigest request;
    std::optional<UpstreamHash> crashedUpstream; ///< this upstream, under it; none: it completed

    template <class Archive> void serialize(Archive &ar) { ar(request, crashedUpstream); }
};

/// Such a request comes to any gateway, so each one may see a single end under it. What is seen
/// goes to a few gateways that all choose alike for a request, and is counted there; a new
/// quarantine goes to all gateways at once and to whatever keeps it beyond their lives. Beats carry
/// a mark of what is in quarantine: where two differ, each tells the other, so that lost datagrams
/// and gateways that just started are made up for. A gateway that reaches no other counts by
/// itself. One thread.
class CrashLink
{
public:
    /// Told of each quarantine that begins here, to keep it beyond the gateways' lives.
    using Publish = std::function<void(const QuarantinedRequest &)>;

    CrashLink(GatewayState &state, GatewayPeers &peers, Counters *counters, Publish publish);

    /// An upstream's process ended under a request of this gateway.
    void upstreamCrashed(const RequestDigest &request, const UpstreamId &upstream);

    /// A request of this gateway under which an upstream ended completed at another one.
    void requestCompleted(const RequestDigest &request);

    /// Gateways that count for a request: a datagram may be lost and a gateway may end, so each
    /// word goes to more than one.
    static constexpr std::size_t collectorCount = 3;

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    void tellCollectors(const CrashReport &word);
    void takeWord(const CrashReport &word);
    void begin(const RequestDigest &request);
    void takeQuarantine(const std::vector<QuarantinedRequest> &told);
    void compareMark(std::uint64_t mark, const Endpoint &peer);
    void take(PeerMessageKind kind, std::string_view message);

    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters;
    Publish m_publish;
};

/// The first \p n of \p all for a request, in an order that all gateways share.
std::vector<VmName> selectCollectors(const RequestDigest &request, const std::vector<VmName> &all,
                                     std::size_t n);

} // namespace reachlead

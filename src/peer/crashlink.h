// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Exchange of crash reports and quarantined requests between gateways.

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

/// A gateway's report on one request to the gateways that count its crashes.
struct CrashReport
{
    ContentDigest request;
    std::optional<UpstreamHash> crashedUpstream; ///< while running it; none: it completed

    template <class Archive> void serialize(Archive &ar) { ar(request, crashedUpstream); }
};

/// A request that crashes upstreams may arrive at any gateway, so each gateway may see only one of
/// the crashes. Therefore each crash is reported to a few gateways, the collectors, which all
/// gateways select alike for a request and which count its crashes. A new quarantine is sent to all
/// gateways at once, and published so that it outlives them. Heartbeats carry a checksum of the
/// requests in quarantine; where two gateways differ, each sends its list to the other, which makes
/// up for lost datagrams and brings new gateways up to date. A gateway that reaches no other counts
/// only its own crashes. Not thread-safe.
class CrashLink
{
public:
    /// Called for each quarantine that starts here, to store it outside the gateways.
    using Publish = std::function<void(const Quarantine &)>;

    CrashLink(GatewayState &state, GatewayPeers &peers, Counters *counters, Publish publish);

    /// An upstream's process crashed while it ran a request of this gateway.
    void upstreamCrashed(const ContentDigest &request, const UpstreamId &upstream);

    /// A request of this gateway completed although an upstream had crashed while running it.
    void requestCompleted(const ContentDigest &request);

    /// Number of gateways that count the crashes of a request. More than one, as a datagram may be
    /// lost and a gateway may exit.
    static constexpr std::size_t collectorCount = 3;

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    void sendToCollectors(const CrashReport &report);
    void applyReport(const CrashReport &report);
    void startQuarantine(const ContentDigest &request);
    void mergeQuarantine(const std::vector<Quarantine> &requests);
    void compareChecksum(std::uint64_t checksum, const Endpoint &peer);
    void handleDatagram(PeerMessageKind kind, std::string_view message);

    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters;
    Publish m_publish;
};

/// Returns the first \p n of \p all in the rendezvous order of the request, which is the same at
/// all gateways.
std::vector<VmName> selectCollectors(const ContentDigest &request, const std::vector<VmName> &all,
                                     std::size_t n);

} // namespace reachlead

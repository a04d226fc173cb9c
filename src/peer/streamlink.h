// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Copies of stream bindings at other gateways.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/streamregistry.h>

#include "peer/gatewaypeers.h"
#include "peer/streamarchiver.h"

namespace reachlead {

/// A caller resumes a stream at any gateway, often because the one that began it is gone. Therefore
/// each binding is copied to a few gateways when the call is sent to an upstream, which is long
/// before its first event. All gateways rank each other alike for a stream, so the one to which
/// the caller returns knows which ones to query. The cost of a gateway depends on the streams that
/// it begins, not on the size of the fleet. Not thread-safe.
class StreamLink : public StreamRegistry
{
public:
    StreamLink(boost::asio::io_context &io, GatewayState &state, GatewayPeers &peers,
               Counters *counters);

    void record(const StreamKey &stream, const StreamBinding &binding, Duration retention) override;
    boost::asio::awaitable<StreamLookup> find(StreamKey stream, ServiceName service) override;
    boost::asio::awaitable<std::optional<std::set<SoftwareVersion>>>
    recentVersions(ServiceName service, Time asOf) override;

    /// Starts to store what must outlive all gateways. \p archive must outlive the event loop.
    void start(StreamArchive *archive) { m_archiver.start(archive); }

    /// Number of gateways that keep copies. If half of a fleet is lost at once, one in 16 streams
    /// loses all of them.
    static constexpr std::size_t copyCount = 4;
    /// Number of gateways that are queried: more than copyCount, as the ranks shift where two
    /// gateways know different fleets.
    static constexpr std::size_t queryCount = 8;
    /// Time limits for the replies to a query and to its repetition, as datagrams may be lost: some
    /// round trips between availability zones, and the scheduling delay of a busy process.
    static constexpr Duration replyTimeout = milliseconds(60);
    static constexpr Duration repeatTimeout = milliseconds(120);
    /// Time after the first binding in which other gateways may report one of a later send: a
    /// gateway that missed a datagram knows an earlier one, and may be the first to reply.
    static constexpr Duration settleTime = milliseconds(10);

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;
    using QueryNumber = std::uint32_t;

    /// A binding that another gateway asks this one to keep.
    struct Copy
    {
        StreamKey stream;
        StreamBinding binding;
        std::uint32_t retentionMs = 0;

        template <class Archive> void serialize(Archive &ar) { ar(stream, binding, retentionMs); }
    };

    struct Query
    {
        Incarnation querier;
        QueryNumber number = 0;
        StreamKey stream;
        ServiceName service;

        template <class Archive> void serialize(Archive &ar)
        {
            ar(querier, number, stream, service);
        }
    };

    struct Reply
    {
        VmName from;
        Incarnation querier;
        QueryNumber number = 0;
        std::optional<StreamBinding> binding;
        std::uint32_t ageMs = 0; ///< of the binding
        std::vector<SoftwareVersion> versions; ///< without a binding: see StreamLookup

        template <class Archive> void serialize(Archive &ar)
        {
            ar(from, querier, number, binding, ageMs, versions);
        }
    };

    /// A lookup that waits for replies. Lives in the coroutine frame of find().
    struct Lookup
    {
        explicit Lookup(boost::asio::io_context &io) : timer(io) { }

        Timer timer;
        std::set<VmName> unanswered;
        StreamLookup found;
    };
    using Lookups = std::map<QueryNumber, Lookup *>;

    struct Gateway
    {
        GatewayEntry entry;
        bool isLive = false;
    };

    void refreshFleet();
    std::vector<const Gateway *> rankedGateways(const StreamKey &stream, std::size_t n,
                                                bool liveFirst);
    void sendQueries(const Query &query, const std::set<VmName> &to);
    void handleDatagram(PeerMessageKind kind, std::string_view message, const UdpEndpoint &from);
    void answer(const Query &query, const UdpEndpoint &from);
    void handleReply(const Reply &reply);
    void store(const StreamKey &stream, const StreamBinding &binding, Duration retention);
    std::optional<StreamLookup> findLocally(const StreamKey &stream) const;
    boost::asio::awaitable<StreamLookup> findAtPeers(StreamKey stream, ServiceName service);
    bool hadSeveralVersions(const StreamLookup &found, const ServiceName &service) const;

    boost::asio::io_context &m_io;
    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters; ///< may be null
    StreamArchiver m_archiver;
    std::vector<Gateway> m_gateways; ///< the other ones, as of m_fleetReadAt
    std::optional<Time> m_fleetReadAt;
    QueryNumber m_lastQuery = 0;
    std::shared_ptr<Lookups> m_lookups = std::make_shared<Lookups>();
};

} // namespace reachlead

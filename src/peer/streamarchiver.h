// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stores what must be known of streams after the loss of all gateways.

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/streams/streamarchive.h>

#include "peer/gatewaypeers.h"

namespace reachlead {

/// Copies of bindings at other gateways are lost if all gateways are. Therefore one gateway for
/// each service, its collector, is sent all bindings. While upstreams of several versions may have
/// begun streams that callers still resume, it writes them to the platform's store, many at a time,
/// so that the calls to the store depend neither on the number of gateways nor on that of streams.
/// It also stores which versions the service had lately. A collector that is lost is replaced only
/// after GatewayPeers::peerTimeout, so its deputies, the next gateways in the order of election,
/// store versions that it has not stored in time.
///
/// A gateway that does not know whether there were several versions acts as if there were.
/// Not thread-safe.
class StreamArchiver
{
public:
    StreamArchiver(boost::asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                   Counters *counters);

    /// Starts to read and write. \p archive must outlive the event loop. Without an archive, what
    /// this gateway has not seen itself is not known.
    void start(StreamArchive *archive);

    /// Passes the binding of a stream that this gateway sends to an upstream on to the collector.
    void record(const StreamKey &stream, const StreamBinding &binding, Duration retention);

    /// Reads what is stored for a service into GatewayState::streams(), unless that was done less
    /// than readInterval ago.
    boost::asio::awaitable<void> refresh(ServiceName service);

    /// The versions that the service had before this gateway saw it, as far as they matter; none:
    /// not known.
    std::optional<std::set<SoftwareVersion>> storedVersions(const ServiceName &service) const;

    /// Bindings that are not written within this time are lost if all gateways are. Below the time
    /// to the first event of nearly all streams.
    static constexpr Duration writeInterval = milliseconds(100);
    /// Interval at which the versions of services are compared with the stored ones.
    static constexpr Duration recordInterval = milliseconds(500);
    static constexpr Duration readInterval = seconds(1);
    static constexpr Duration readRetryInterval = milliseconds(250);
    /// Time limit for waiting for a read that another call has begun.
    static constexpr Duration maxReadWait = milliseconds(500);
    /// Time from the start in which other gateways become known. Until then, each gateway would
    /// take itself for the collector and write the same versions.
    static constexpr Duration startDelay = seconds(5);
    /// Gateways that store versions if the collector does not.
    static constexpr std::size_t deputyCount = 2;
    /// Time that a deputy leaves to the collector, and to each deputy before it.
    static constexpr Duration deputyDelay = seconds(1);
    /// Bindings in a datagram of about 1 KB.
    static constexpr std::size_t maxForwarded = 16;
    /// Bindings held for a service, of this gateway or as its collector.
    static constexpr std::size_t maxHeld = 4'096;

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    struct Held
    {
        BoundStream bound;
        Time expiresAt;
    };

    /// A binding that is sent to the collector of its service.
    struct ForwardedStream
    {
        BoundStream bound;
        std::uint32_t retentionMs = 0;

        template <class Archive> void serialize(Archive &ar) { ar(bound, retentionMs); }
    };

    /// The bindings that this gateway made for a service.
    struct Own
    {
        VmName collector; ///< that was sent all but the last `unsent` of them
        std::deque<Held> streams; ///< oldest first
        std::size_t unsent = 0;
    };

    struct Service
    {
        std::deque<Held> held; ///< as the collector, not written
        StreamBatches batches;
        std::optional<Time> readAt; ///< last successful read
        std::optional<Time> triedAt; ///< last read
        bool isReading = false;
        std::optional<VersionRecord> record; ///< as stored
        StoreRevision recordRevision;
        std::uint64_t era = 0; ///< of the store at readAt
        std::optional<Time> outdatedSince; ///< the record, as seen by a deputy
    };

    boost::asio::awaitable<void> recordLoop();
    boost::asio::awaitable<void> forwardSoon();
    boost::asio::awaitable<void> writeSoon();
    boost::asio::awaitable<void> writeBatches(ServiceName name);
    boost::asio::awaitable<void> writeRecord(ServiceName name);
    boost::asio::awaitable<void> writeAsDeputy(ServiceName name, std::size_t rank);
    void handleDatagram(std::string_view message);
    void forwardOwn(const ServiceName &name, Own &own, Time now);
    void startWriting();
    void hold(const BoundStream &bound, Duration retention, Time now);
    void apply(const ServiceName &name, const ArchivedService &stored, Time now);
    bool needsArchive(const ServiceName &name) const;
    bool isRead(const Service &service) const;
    std::set<SoftwareVersion> servingVersions(const ServiceName &name) const;
    std::set<ServiceName> resumableServices() const;
    VersionRecord nextRecord(const Service &service, const ServiceName &name) const;
    std::optional<GatewayEntry> collector(const ServiceName &name);
    std::optional<std::size_t> collectorRank(const ServiceName &name);
    void refreshFleet();
    UnixMillis timeOfDay() const;
    void count(Counter c);

    boost::asio::io_context &m_io;
    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters; ///< may be null
    StreamArchive *m_archive = nullptr;
    const Time m_startedAt = RuntimeClock::now();
    bool m_isForwarding = false; ///< forwardSoon() runs
    bool m_isWriting = false; ///< writeSoon() runs
    std::map<ServiceName, Own> m_own;
    std::map<ServiceName, Service> m_services;
    std::map<VmName, GatewayEntry> m_gateways; ///< live ones, as of m_fleetReadAt
    std::set<VmName> m_candidates; ///< of these, the ones with enough processor time
    std::optional<Time> m_fleetReadAt;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Exchange of crash reports and quarantines between gateways.

#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
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

/// A gateway's report on the calls that one crash lost before their answers began, to the gateways
/// that collect the evidence about their parts.
struct PartCrashReport
{
    UpstreamHash upstream = 0;
    struct Call
    {
        PartSet parts; ///< without those known to be innocent
        std::uint32_t sentAgeMs = 0; ///< time since it was sent to the upstream
        std::uint32_t lostAgeMs = 0; ///< time since it was lost

        template <class Archive> void serialize(Archive &ar) { ar(parts, sentAgeMs, lostAgeMs); }
    };
    std::vector<Call> calls;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, calls); }
};

/// Limits the datagrams of one kind, of which many crashes at once would cause a burst. Reads no
/// clock.
class DatagramBudget
{
public:
    explicit DatagramBudget(std::size_t perSecond) : m_perSecond(perSecond) { }

    /// Returns false if the budget of the current second is spent.
    bool take(Time now);

private:
    std::size_t m_perSecond;
    std::size_t m_taken = 0;
    Time m_since{};
};

/// What crashes upstreams may arrive at any gateway, so each gateway may see only one of the
/// crashes. Therefore each crash is reported to a few gateways, the collectors, which all gateways
/// select alike and which add up the evidence: for a request by its digest, and for the parts of
/// prompts by their account and model. Collectors announce parts that come under suspicion, and
/// each gateway reports back on which of them an answer began lately, or begins. A new quarantine
/// is sent to all gateways at once, and published so that it outlives them. Heartbeats carry a
/// checksum of the quarantines; where two gateways differ, each sends its list to the other, which
/// makes up for lost datagrams and brings new gateways up to date. A gateway that reaches no other
/// counts only its own crashes. Not thread-safe.
class CrashLink
{
public:
    /// Called for each quarantine that starts or is released here, to store it outside the
    /// gateways.
    using Publish = std::function<void(const Quarantine &)>;

    CrashLink(boost::asio::io_context &io, GatewayState &state, GatewayPeers &peers,
              Counters *counters, Publish publish);

    /// An upstream's process crashed and lost these calls of this gateway.
    void upstreamCrashed(const std::vector<LostCall> &calls, const UpstreamId &upstream);

    /// A request of this gateway completed although an upstream had crashed while running it.
    void requestCompleted(const ContentDigest &request);

    /// An answer of this gateway began on these parts.
    void partsBegan(const PromptContents &prompt);

    /// Number of gateways that collect the same evidence. More than one, as a datagram may be lost
    /// and a gateway may exit.
    static constexpr std::size_t collectorCount = 3;

    /// Gateways that a part is announced to. In larger fleets it is a random sample: a popular part
    /// begins often enough at some of them.
    static constexpr std::size_t maxAnnounced = 30;

    /// Calls in one report: 0.8 KB with three parts each.
    static constexpr std::size_t maxReportedCalls = 16;

    /// Gateways that answers on announced parts are reported to, besides the collectors. A gateway
    /// that is no collector announces parts, too, as it counts the crashes that it saw itself.
    static constexpr std::size_t maxAnnouncers = 8;

    /// Announcements per second: at most 6 KB/s with maxAnnounced of 0.1 KB each.
    static constexpr std::size_t maxAnnouncementsPerSecond = 2;

    /// Reports of part crashes per second, to collectorCount gateways each: 9 KB/s with 150 bytes
    /// in a report, which holds one call.
    static constexpr std::size_t maxPartReportsPerSecond = 20;

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;
    using Handler = void (CrashLink::*)(std::string_view, const UdpEndpoint &, std::string *);
    struct HandlerRow
    {
        PeerMessageKind kind;
        Handler handle;
    };
    static const std::array<HandlerRow, 5> handlers;

    void sendToCollectors(const ContentDigest &key, PeerMessageKind kind,
                          const std::string &payload);
    void sendToAll(PeerMessageKind kind, const std::string &payload);
    void report(const CrashReport &crash);
    void reportParts(const std::vector<LostCall> &calls, const UpstreamId &upstream);
    void applyReport(const CrashReport &report);
    void applyPartReport(const PartCrashReport &report);
    void announceParts();
    void decideOnParts();
    void decideLater();
    void startQuarantine(const Quarantine &quarantine);
    void releaseQuarantine(const Quarantine &quarantine);
    void compareChecksum(std::uint64_t checksum, const Endpoint &peer);
    void handleDatagram(PeerMessageKind kind, std::string_view message, const UdpEndpoint &from);
    void recordAnnouncer(const UdpEndpoint &announcer);
    void handleCrashReport(std::string_view message, const UdpEndpoint &from, std::string *reason);
    void handlePartCrashReport(std::string_view message, const UdpEndpoint &from,
                               std::string *reason);
    void handlePartAnnouncement(std::string_view message, const UdpEndpoint &from,
                                std::string *reason);
    void handlePartBegin(std::string_view message, const UdpEndpoint &from, std::string *reason);
    void handleQuarantine(std::string_view message, const UdpEndpoint &from, std::string *reason);

    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters;
    Publish m_publish;
    std::map<UdpEndpoint, Time> m_announcers; ///< of parts, and when each announced the last one
    DatagramBudget m_announcements{maxAnnouncementsPerSecond};
    DatagramBudget m_partReports{maxPartReportsPerSecond};
    std::mt19937 m_random{std::random_device{}()};
    Timer m_decisionTimer;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(); ///< expires with this object
};

/// Returns the first \p n of \p all in the rendezvous order of the digest, which is the same at all
/// gateways.
std::vector<VmName> selectCollectors(const ContentDigest &key, const std::vector<VmName> &all,
                                     std::size_t n);

} // namespace reachlead

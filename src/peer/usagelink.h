// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Collects the gateways' usage counts and reports them while this gateway holds the lease.

#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/counters.h>
#include <reachlead/usageplatform.h>
#include <reachlead/usagereporter.h>
#include <reachlead/usagetable.h>

#include "peer/gatewaypeers.h"

namespace reachlead {

/// Query for the counts of a window.
struct UsageQuery
{
    WindowNumber window = 0;

    template <class Archive> void serialize(Archive &ar) { ar(window); }
};

/// Exchanges usage counts with the other gateways and runs the UsageReporter. The lease holder
/// queries all gateways after the end of a window, so that traffic grows with the number of windows
/// and not of calls. In the meantime each gateway sends its counts to a few others, its collectors,
/// so that the counts survive it. Not thread-safe.
class UsageLink
{
public:
    struct Options
    {
        bool isEnabled = false;
        Duration window = seconds(5); ///< length; windows start at multiples of it since 1970
        Duration lease = seconds(3); ///< after a write, time in which no other gateway may report
        Counters *counters = nullptr; ///< must outlive the link; may be null
    };

    UsageLink(boost::asio::io_context &io, const Options &options, GatewayPeers &peers,
              std::unique_ptr<UsagePlatform> platform);

    /// Counts a call of an account that has just started to run.
    void callStarted(const AccountName &account);

    /// Stops reporting, and sends the counts to the collectors.
    void stop();

    const UsageReporter &reporter() const { return m_reporter; }

    /// Number of gateways, in rendezvous order, that may become the lease holder. Enough that some
    /// of them are live and reach the store if several fail together. Each of them reads the record
    /// once per window.
    static constexpr std::size_t maxCandidates = 6;
    /// Number of gateways that receive a gateway's counts before a window ends.
    static constexpr std::size_t collectorCount = 3;
    /// Interval of reports to the collectors. A gateway that is killed loses the counts of less
    /// than this time.
    static constexpr Duration reportInterval = milliseconds(500);
    /// Time from the end of a window until the lease holder queries the counts, which are final
    /// then.
    static constexpr Duration holderDelay = UsageTable::settleTime + milliseconds(100);
    /// Time from the end of a window until the first of the other candidates checks whether it was
    /// reported, and from each candidate to the next.
    static constexpr Duration standbyDelay = milliseconds(2500);
    static constexpr Duration standbyStep = milliseconds(700);
    /// The same until all candidates have checked.
    static constexpr Duration lastStandbyDelay =
        standbyDelay + standbyStep * static_cast<std::int64_t>(maxCandidates);
    /// Time after the first query of a window when missing counts are no longer waited for. It does
    /// not pass while no other gateway is heard, until lastStandbyDelay.
    static constexpr Duration queryTimeout = milliseconds(1000);
    /// A gateway without a heartbeat for this time, several heartbeat intervals, gets no counts.
    static constexpr Duration livenessTimeout = milliseconds(3000);
    /// Number of consecutive failed reports after which the lease holder pauses, so that another
    /// candidate reports the next window. The platform may be unreachable from this VM only.
    static constexpr unsigned maxFailures = 3;

private:
    struct QueryTimes
    {
        Time first;
        Time last;
    };

    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> leaseLoop();
    boost::asio::awaitable<void> perform(UsageAction action);
    boost::asio::awaitable<void> readRecord();
    boost::asio::awaitable<void> writeRecord(UsageAction action);
    boost::asio::awaitable<void> sendReport(UsageAction action);
    UsageAction nextAction();
    void refreshLivePeers();
    WindowNumber lastDueWindow() const;
    bool hearsNoOther(WindowNumber window) const;
    bool isComplete(WindowNumber window);
    void queryCounts(WindowNumber window);
    void sendToCollectors(bool isLast);
    void sendUsage(const boost::asio::ip::udp::endpoint &to, const WindowUsage &usage);
    void handleDatagram(PeerMessageKind kind, std::string_view message,
                        const boost::asio::ip::udp::endpoint &from);
    void handleQuery(const UsageQuery &query, const boost::asio::ip::udp::endpoint &from);
    void recordFailure(std::string_view step, const UsageReply &reply);
    void logHolder();
    void count(Counter c);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayPeers &m_peers;
    std::unique_ptr<UsagePlatform> m_platform;
    UsageTable m_table;
    UsageReporter m_reporter;
    std::set<VmName> m_livePeers; ///< as of the last report to the collectors
    std::size_t m_position = 0; ///< of this gateway among them, in rendezvous order
    std::map<WindowNumber, QueryTimes> m_queries;
    std::map<WindowNumber, std::uint64_t> m_sentCalls; ///< calls already sent to the collectors
    std::vector<VmName> m_collectors;
    GatewayIncarnation m_loggedHolder; ///< logged last
    unsigned m_failures = 0; ///< consecutive failed reports
    Time m_pausedUntil{};
    bool m_stopped = false;
};

} // namespace reachlead

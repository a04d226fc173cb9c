// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gathers the gateways' counts of usage and reports them while this gateway holds the duty.

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

/// Asks for a window's counts.
struct UsageQuery
{
    WindowNumber window = 0;

    template <class Archive> void serialize(Archive &ar) { ar(window); }
};

/// One thread. The holder asks all gateways once a window has ended, so that what is told grows
/// with the windows and not with the calls; meanwhile each gateway tells its counts to a few others
/// of its own, so that they outlive it.
class UsageLink
{
public:
    struct Options
    {
        bool isEnabled = false;
        Duration window = seconds(5); ///< that a report is of; multiples of it since 1970
        Duration lease = seconds(3); ///< in which no two gateways may hold the duty by turns
        Counters *counters = nullptr; ///< must outlive the link; null: nothing is counted
    };

    UsageLink(boost::asio::io_context &io, const Options &options, GatewayPeers &peers,
              std::unique_ptr<UsagePlatform> platform);

    /// A call of an account began to run about now.
    void callStarted(const AccountName &account);

    /// Ends the duty; what was counted is told to those that stay.
    void stop();

    const UsageReporter &reporter() const { return m_duty; }

    /// Gateways that may become the holder, by rank: enough that some of them live and reach the
    /// store whatever fails together. Each reads the record once a window.
    static constexpr std::size_t maxCandidates = 6;
    /// Gateways that hear of a gateway's counts before a window ends.
    static constexpr std::size_t collectorCount = 3;
    /// Between two tellings to the collectors: a gateway that is killed takes less than this of its
    /// counts with it.
    static constexpr Duration reportInterval = milliseconds(500);
    /// From a window's end until its holder asks for counts: they have settled by then.
    static constexpr Duration holderDelay = UsageTable::settleTime + milliseconds(100);
    /// From a window's end until the first other candidate looks whether it was reported, and from
    /// each candidate to the next.
    static constexpr Duration standbyDelay = milliseconds(2500);
    static constexpr Duration standbyStep = milliseconds(700);
    /// A gateway that has not told its counts this long after it was asked is not waited for.
    static constexpr Duration queryTimeout = milliseconds(1000);
    /// A gateway that was not heard for this long is not waited for: some rounds of beats.
    static constexpr Duration livenessTimeout = milliseconds(3000);
    /// Reports in a row that fail until the holder leaves the duty to others, for long enough that
    /// they come to the next window first: the platform may be out of reach for this VM alone.
    static constexpr unsigned maxFailures = 3;

private:
    struct Asked
    {
        Time first;
        Time last;
    };

    boost::asio::awaitable<void> tellLoop();
    boost::asio::awaitable<void> dutyLoop();
    boost::asio::awaitable<void> perform(UsageAction action);
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write(UsageAction action);
    boost::asio::awaitable<void> send(UsageAction action);
    UsageAction nextAction();
    void refreshOthers();
    WindowNumber lastDue() const;
    bool isComplete(WindowNumber window);
    void ask(WindowNumber window);
    void tellCollectors(bool isLast);
    void tell(const boost::asio::ip::udp::endpoint &to, const WindowUsage &usage);
    void take(PeerMessageKind kind, std::string_view message,
              const boost::asio::ip::udp::endpoint &from);
    void takeAsk(const UsageQuery &ask, const boost::asio::ip::udp::endpoint &from);
    void noteFailure(std::string_view step, const UsageReply &answer);
    void noteHolder();
    void count(Counter c);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayPeers &m_peers;
    std::unique_ptr<UsagePlatform> m_platform;
    UsageTable m_book;
    UsageReporter m_duty;
    std::set<VmName> m_others; ///< that live, as of the last telling
    std::size_t m_rank = 0; ///< of this gateway among them
    std::map<WindowNumber, Asked> m_asked;
    std::map<WindowNumber, std::uint64_t> m_told; ///< calls that the collectors heard of
    std::vector<VmName> m_toldTo;
    GatewayIncarnation m_holder; ///< that was logged last
    unsigned m_failures = 0; ///< of reports, in a row
    Time m_restUntil{};
    bool m_stopped = false;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/usagelink.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>
#include <reachlead/watcherelection.h>

#include "peer/payload.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr Duration checkInterval = milliseconds(100); ///< of the reporter's next step
constexpr Duration failureBackoff = milliseconds(300); ///< after a failed read, write or report
constexpr Duration queryRetryInterval = milliseconds(350); ///< a query or its reply was lost

std::uint64_t totalCalls(const UsageCounts &counts)
{
    const auto each = counts | std::views::values;
    return std::accumulate(each.begin(), each.end(), std::uint64_t{0});
}

std::int64_t wholeMillis(Duration d)
{
    return static_cast<std::int64_t>(toMillis(d));
}

} // namespace

UsageLink::UsageLink(asio::io_context &io, const Options &options, GatewayPeers &peers,
                     std::unique_ptr<UsagePlatform> platform)
    : m_io(io), m_options(options), m_peers(peers), m_platform(std::move(platform)),
      m_table({peers.self().vm, peers.incarnation()}, options.window),
      m_reporter(m_table.self(), options.lease)
{
    if (!m_options.isEnabled)
        return;
    m_peers.onDatagram({PeerMessageKind::UsageQuery, PeerMessageKind::UsageReport},
                       [this](PeerMessageKind kind, std::string_view message,
                              const udp::endpoint &from) { handleDatagram(kind, message, from); });
    asio::co_spawn(io, reportLoop(), asio::detached);
    asio::co_spawn(io, leaseLoop(), asio::detached);
}

void UsageLink::count(Counter c)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(c);
}

void UsageLink::callStarted(const AccountName &account)
{
    if (m_options.isEnabled)
        m_table.countCall(account, m_peers.timeOfDay());
}

void UsageLink::stop()
{
    m_stopped = true;
    if (!m_options.isEnabled)
        return;
    sendToCollectors(true);
    m_platform->stop();
}

// Reports to collectors

/// Updates the live gateways. Not done at each check of the reporter, as it iterates over all
/// gateways.
void UsageLink::refreshLivePeers()
{
    m_livePeers.clear();
    std::ranges::transform(m_peers.recentIncarnations(livenessTimeout),
                           std::inserter(m_livePeers, m_livePeers.end()), &GatewayIncarnation::vm);
    m_position = rendezvousPosition(m_table.self().vm, m_livePeers);
}

void UsageLink::sendUsage(const udp::endpoint &to, const WindowUsage &usage)
{
    m_peers.sendTo(to, PeerMessageKind::UsageReport, pvt::encodePayload(usage));
}

/// Sends the counts that have changed since the last report to this gateway's collectors.
void UsageLink::sendToCollectors(bool isLast)
{
    const std::vector<VmName> recipients =
        rendezvousPeers(m_table.self().vm, m_livePeers, collectorCount);
    if (std::exchange(m_collectors, recipients) != recipients)
        m_sentCalls.clear();
    const std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    const UnixMillis now = m_peers.timeOfDay();
    const WindowNumber current = m_table.windowAt(now);
    for (const WindowNumber window : {current - 1, current}) {
        WindowUsage usage = m_table.ownUsage(window, now);
        usage.isFinal = usage.isFinal || isLast;
        const std::uint64_t calls = totalCalls(usage.counts);
        if (std::exchange(m_sentCalls[window], calls) == calls && !isLast)
            continue;
        for (const VmName &vm : recipients) {
            if (const auto it = fleet.find(vm); it != fleet.end())
                m_peers.sendTo(it->second.address, PeerMessageKind::UsageReport,
                               pvt::encodePayload(usage));
        }
    }
    m_sentCalls.erase(m_sentCalls.begin(), m_sentCalls.lower_bound(current - 1));
}

asio::awaitable<void> UsageLink::reportLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        boost::system::error_code ec;
        timer.expires_after(reportInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (m_stopped)
            co_return;
        refreshLivePeers();
        sendToCollectors(false);
        const WindowNumber current = m_table.windowAt(m_peers.timeOfDay());
        m_table.dropBefore(current - UsageTable::maxWindows);
        m_queries.erase(m_queries.begin(), m_queries.lower_bound(current - UsageTable::maxWindows));
    }
}

void UsageLink::handleDatagram(PeerMessageKind kind, std::string_view message,
                               const udp::endpoint &from)
{
    std::string reason;
    if (kind == PeerMessageKind::UsageQuery) {
        if (const auto query = pvt::decodePayload<UsageQuery>(message, &reason))
            handleQuery(*query, from);
    } else if (const auto usage = pvt::decodePayload<WindowUsage>(message, &reason)) {
        m_table.merge(*usage);
    }
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

/// Replies with this gateway's counts, and with those of gateways that can no longer reply.
void UsageLink::handleQuery(const UsageQuery &query, const udp::endpoint &from)
{
    sendUsage(from, m_table.ownUsage(query.window, m_peers.timeOfDay()));
    const std::set<GatewayIncarnation> live = m_peers.recentIncarnations(GatewayPeers::peerTimeout);
    for (const WindowUsage &usage : m_table.exitedUsage(live, query.window))
        sendUsage(from, usage);
}

void UsageLink::queryCounts(WindowNumber window)
{
    const Time now = RuntimeClock::now();
    const auto [it, isFirst] = m_queries.try_emplace(window, QueryTimes{now, now});
    if (hearsNoOther(window))
        it->second.first = now;
    if (!isFirst && now < it->second.last + queryRetryInterval)
        return;
    it->second.last = now;
    const std::string payload = pvt::encodePayload(UsageQuery{window});
    for (const auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_table.self().vm)
            m_peers.sendTo(entry.address, PeerMessageKind::UsageQuery, payload);
    }
}

/// True if this gateway hears none of the others, as it is cut off or did not run: then nothing is
/// known of their counts, however long ago they were asked. They may be gone as well, so a window
/// is reported without them once all other candidates have had time to do so.
bool UsageLink::hearsNoOther(WindowNumber window) const
{
    const UnixMillis limit = m_table.windowEnd(window) + wholeMillis(lastStandbyDelay);
    const bool hasOthers = m_peers.fleet().size() > 1;
    return hasOthers && m_peers.timeOfDay() < limit
        && m_peers.recentIncarnations(queryTimeout).empty();
}

/// Returns true if all live gateways have reported their final counts of a window, or the time
/// limit for that has passed.
bool UsageLink::isComplete(WindowNumber window)
{
    const auto it = m_queries.find(window);
    if (it == m_queries.end())
        return false;
    if (it->second.first + queryTimeout <= RuntimeClock::now())
        return true;
    const auto live = m_peers.recentIncarnations(GatewayPeers::peerTimeout);
    return !hearsNoOther(window)
        && std::ranges::all_of(live, [&](const GatewayIncarnation &gateway) {
               return m_table.isFinal(gateway, window);
           });
}

// Reports to the platform

/// Returns the last window that this gateway may report by now. The lease holder may do so soon
/// after the end of a window; the others wait longer the later they are in rendezvous order, so
/// that each acts only if no gateway before it did.
WindowNumber UsageLink::lastDueWindow() const
{
    Duration delay = holderDelay;
    if (!m_reporter.isHolder())
        delay = standbyDelay + standbyStep * static_cast<std::int64_t>(m_position);
    return m_table.windowAt(m_peers.timeOfDay() - wholeMillis(delay)) - 1;
}

UsageAction UsageLink::nextAction()
{
    UsageView view;
    view.now = RuntimeClock::now();
    view.dueWindow = lastDueWindow();
    const WindowNumber window = m_reporter.nextWindow(view.dueWindow);
    const bool mayQuery = m_reporter.isHolder() || !m_reporter.lastKnown();
    if (window <= view.dueWindow) {
        if (mayQuery)
            queryCounts(window);
        view.counts = m_table.total(window);
        view.isComplete = isComplete(window);
        for (WindowNumber it = window; it <= view.dueWindow; ++it)
            view.hasCalls = view.hasCalls || !m_table.total(it).empty();
    }
    return m_reporter.next(view);
}

asio::awaitable<void> UsageLink::leaseLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        boost::system::error_code ec;
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const bool isPaused = RuntimeClock::now() < m_pausedUntil;
        if (m_stopped || isPaused || m_peers.timeOfDay() == 0)
            continue;
        if (!m_reporter.isHolder() && m_position >= maxCandidates)
            continue;
        UsageAction action = nextAction();
        co_await perform(std::move(action));
    }
}

asio::awaitable<void> UsageLink::perform(UsageAction action)
{
    switch (action.step) {
    case UsageStep::Idle:
        co_return;
    case UsageStep::Skip:
        m_reporter.skip(action.record.window);
        co_return;
    case UsageStep::Read:
        co_await readRecord();
        co_return;
    case UsageStep::Write:
        co_await writeRecord(std::move(action));
        co_return;
    case UsageStep::Send:
        co_await sendReport(std::move(action));
        co_return;
    }
}

asio::awaitable<void> UsageLink::readRecord()
{
    const UsageReply reply = co_await m_platform->read();
    if (reply.result == UsageResult::Done) {
        m_reporter.onRead(reply.stored, reply.era, RuntimeClock::now(),
                          m_table.windowAt(m_peers.timeOfDay()));
        logHolder();
    } else {
        recordFailure("read", reply);
    }
}

asio::awaitable<void> UsageLink::writeRecord(UsageAction action)
{
    const Time startedAt = RuntimeClock::now();
    const UsageRecord record = action.record;
    const UsageReply reply = co_await m_platform->write(record, action.revision);
    if (reply.result == UsageResult::Done) {
        m_reporter.onWritten(record, reply.revision, startedAt);
        if (action.isTakeover)
            count(Counter::UsageTakeovers);
        logHolder();
        co_return;
    }
    m_reporter.invalidate();
    if (reply.result != UsageResult::Conflict)
        recordFailure("write", reply);
}

asio::awaitable<void> UsageLink::sendReport(UsageAction action)
{
    const UsageRecord record = action.record;
    const UsageReply reply = co_await m_platform->send(record, action.limit);
    if (reply.result != UsageResult::Done) {
        count(Counter::UsageSendsFailed);
        recordFailure("send", reply);
        if (++m_failures >= maxFailures && !m_livePeers.empty()) {
            m_pausedUntil = RuntimeClock::now() + m_options.window + standbyDelay + m_options.lease;
            m_failures = 0;
        }
        co_return;
    }
    m_failures = 0;
    m_reporter.onSent(record);
    count(Counter::UsageWindowsSent);
    LogLine(LogLevel::Info, "usage-reported")
        .with("window", record.window)
        .with("token", record.token)
        .with("accounts", record.counts.size())
        .with("calls", totalCalls(record.counts))
        .with("age_ms", m_peers.timeOfDay() - m_table.windowEnd(record.window))
        .with("gateways", m_peers.recentIncarnations(livenessTimeout).size() + 1);
}

void UsageLink::recordFailure(std::string_view step, const UsageReply &reply)
{
    LogLine(LogLevel::Warn, "usage-call-failed").with("step", step).with("reason", reply.reason);
    m_pausedUntil = std::max(m_pausedUntil, RuntimeClock::now() + failureBackoff);
}

void UsageLink::logHolder()
{
    if (!m_reporter.lastKnown() || m_reporter.lastKnown()->record.holder == m_loggedHolder)
        return;
    const UsageRecord &record = m_reporter.lastKnown()->record;
    m_loggedHolder = record.holder;
    LogLine(LogLevel::Info, "usage-holder")
        .with("holder", record.holder.vm.text)
        .with("token", record.token)
        .with("window", record.window);
}

} // namespace reachlead

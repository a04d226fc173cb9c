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

constexpr Duration lookInterval = milliseconds(100); ///< between looks at what the duty wants
constexpr Duration failurePause = milliseconds(300); ///< after a call that failed
constexpr Duration askAgain = milliseconds(350); ///< a question or its answer was lost

std::uint64_t callsOf(const UsageCounts &counts)
{
    const auto each = counts | std::views::values;
    return std::accumulate(each.begin(), each.end(), std::uint64_t{0});
}

std::int64_t millisOf(Duration d)
{
    return static_cast<std::int64_t>(toMillis(d));
}

} // namespace

UsageLink::UsageLink(asio::io_context &io, const Options &options, GatewayPeers &peers,
                     std::unique_ptr<UsagePlatform> platform)
    : m_io(io), m_options(options), m_peers(peers), m_platform(std::move(platform)),
      m_book({peers.self().vm, peers.incarnation()}, options.window),
      m_duty(m_book.self(), options.lease)
{
    if (!m_options.isEnabled)
        return;
    m_peers.onDatagram({PeerMessageKind::UsageQuery, PeerMessageKind::UsageReport},
                       [this](PeerMessageKind kind, std::string_view message,
                              const udp::endpoint &from) { take(kind, message, from); });
    asio::co_spawn(io, tellLoop(), asio::detached);
    asio::co_spawn(io, dutyLoop(), asio::detached);
}

void UsageLink::count(Counter c)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(c);
}

void UsageLink::callStarted(const AccountName &account)
{
    if (m_options.isEnabled)
        m_book.countCall(account, m_peers.timeOfDay());
}

void UsageLink::stop()
{
    m_stopped = true;
    if (!m_options.isEnabled)
        return;
    tellCollectors(true);
    m_platform->stop();
}

// Telling

/// Looks again which gateways live. Not done at each look at the duty, as it goes through all of
/// them.
void UsageLink::refreshOthers()
{
    m_others.clear();
    std::ranges::transform(m_peers.recentIncarnations(livenessTimeout),
                           std::inserter(m_others, m_others.end()), &GatewayIncarnation::vm);
    m_rank = rendezvousPosition(m_book.self().vm, m_others);
}

void UsageLink::tell(const udp::endpoint &to, const WindowUsage &usage)
{
    m_peers.sendTo(to, PeerMessageKind::UsageReport, pvt::encodePayload(usage));
}

/// Tells this gateway's collectors what it counted since it last told them.
void UsageLink::tellCollectors(bool isLast)
{
    const std::vector<VmName> first = rendezvousPeers(m_book.self().vm, m_others, collectorCount);
    if (std::exchange(m_toldTo, first) != first)
        m_told.clear();
    const std::map<VmName, GatewayEntry> fleet = m_peers.fleet();
    const UnixMillis now = m_peers.timeOfDay();
    const WindowNumber current = m_book.windowAt(now);
    for (const WindowNumber window : {current - 1, current}) {
        WindowUsage usage = m_book.ownUsage(window, now);
        usage.isFinal = usage.isFinal || isLast;
        const std::uint64_t calls = callsOf(usage.counts);
        if (std::exchange(m_told[window], calls) == calls && !isLast)
            continue;
        for (const VmName &vm : first) {
            if (const auto it = fleet.find(vm); it != fleet.end())
                m_peers.sendTo(it->second.address, PeerMessageKind::UsageReport,
                               pvt::encodePayload(usage));
        }
    }
    m_told.erase(m_told.begin(), m_told.lower_bound(current - 1));
}

asio::awaitable<void> UsageLink::tellLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        boost::system::error_code ec;
        timer.expires_after(reportInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (m_stopped)
            co_return;
        refreshOthers();
        tellCollectors(false);
        const WindowNumber current = m_book.windowAt(m_peers.timeOfDay());
        m_book.dropBefore(current - UsageTable::maxWindows);
        m_asked.erase(m_asked.begin(), m_asked.lower_bound(current - UsageTable::maxWindows));
    }
}

void UsageLink::take(PeerMessageKind kind, std::string_view message, const udp::endpoint &from)
{
    std::string reason;
    if (kind == PeerMessageKind::UsageQuery) {
        if (const auto ask = pvt::decodePayload<UsageQuery>(message, &reason))
            takeAsk(*ask, from);
    } else if (const auto told = pvt::decodePayload<WindowUsage>(message, &reason)) {
        m_book.merge(*told);
    }
    if (!reason.empty())
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

/// Answers with this gateway's counts, and with those of gateways that can no longer answer.
void UsageLink::takeAsk(const UsageQuery &ask, const udp::endpoint &from)
{
    tell(from, m_book.ownUsage(ask.window, m_peers.timeOfDay()));
    const std::set<GatewayIncarnation> live = m_peers.recentIncarnations(GatewayPeers::peerTimeout);
    for (const WindowUsage &usage : m_book.exitedUsage(live, ask.window))
        tell(from, usage);
}

void UsageLink::ask(WindowNumber window)
{
    const Time now = RuntimeClock::now();
    const auto [it, isFirst] = m_asked.try_emplace(window, Asked{now, now});
    if (!isFirst && now < it->second.last + askAgain)
        return;
    it->second.last = now;
    const std::string payload = pvt::encodePayload(UsageQuery{window});
    for (const auto &[vm, entry] : m_peers.fleet()) {
        if (vm != m_book.self().vm)
            m_peers.sendTo(entry.address, PeerMessageKind::UsageQuery, payload);
    }
}

/// True when all gateways that live have told their counts of a window, or had their time to.
bool UsageLink::isComplete(WindowNumber window)
{
    const auto it = m_asked.find(window);
    if (it == m_asked.end())
        return false;
    return it->second.first + queryTimeout <= RuntimeClock::now()
        || std::ranges::all_of(
               m_peers.recentIncarnations(livenessTimeout),
               [&](const GatewayIncarnation &life) { return m_book.isFinal(life, window); });
}

// The duty

/// The last window that this gateway may report: the holder soon after its end, the others later by
/// their rank, so that they come to it only when nobody else did.
WindowNumber UsageLink::lastDue() const
{
    Duration delay = holderDelay;
    if (!m_duty.isHolder())
        delay = standbyDelay + standbyStep * static_cast<std::int64_t>(m_rank);
    return m_book.windowAt(m_peers.timeOfDay() - millisOf(delay)) - 1;
}

UsageAction UsageLink::nextAction()
{
    UsageView view;
    view.now = RuntimeClock::now();
    view.dueWindow = lastDue();
    const WindowNumber window = m_duty.nextWindow(view.dueWindow);
    const bool isOurs = m_duty.isHolder() || !m_duty.lastKnown();
    if (window <= view.dueWindow) {
        if (isOurs)
            ask(window);
        view.counts = m_book.total(window);
        view.isComplete = isComplete(window);
        for (WindowNumber it = window; it <= view.dueWindow; ++it)
            view.hasCalls = view.hasCalls || !m_book.total(it).empty();
    }
    return m_duty.next(view);
}

asio::awaitable<void> UsageLink::dutyLoop()
{
    Timer timer(m_io);
    while (!m_stopped) {
        boost::system::error_code ec;
        timer.expires_after(lookInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const bool rests = RuntimeClock::now() < m_restUntil;
        if (m_stopped || rests || m_peers.timeOfDay() == 0)
            continue;
        if (!m_duty.isHolder() && m_rank >= maxCandidates)
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
        m_duty.skip(action.record.window);
        co_return;
    case UsageStep::Read:
        co_await read();
        co_return;
    case UsageStep::Write:
        co_await write(std::move(action));
        co_return;
    case UsageStep::Send:
        co_await send(std::move(action));
        co_return;
    }
}

asio::awaitable<void> UsageLink::read()
{
    const UsageReply answer = co_await m_platform->read();
    if (answer.result == UsageResult::Done) {
        m_duty.onRead(answer.stored, RuntimeClock::now());
        noteHolder();
    } else {
        noteFailure("read", answer);
    }
}

asio::awaitable<void> UsageLink::write(UsageAction action)
{
    const Time began = RuntimeClock::now();
    const UsageRecord record = action.record;
    const UsageReply answer = co_await m_platform->write(record, action.revision);
    if (answer.result == UsageResult::Done) {
        m_duty.onWritten(record, answer.revision, began);
        if (action.isTakeover)
            count(Counter::UsageTakeovers);
        noteHolder();
        co_return;
    }
    m_duty.invalidate();
    if (answer.result != UsageResult::Conflict)
        noteFailure("write", answer);
}

asio::awaitable<void> UsageLink::send(UsageAction action)
{
    const UsageRecord record = action.record;
    const UsageReply answer = co_await m_platform->send(record, action.limit);
    if (answer.result != UsageResult::Done) {
        count(Counter::UsageSendsFailed);
        noteFailure("send", answer);
        if (++m_failures >= maxFailures && !m_others.empty()) {
            m_restUntil = RuntimeClock::now() + m_options.window + standbyDelay + m_options.lease;
            m_failures = 0;
        }
        co_return;
    }
    m_failures = 0;
    m_duty.onSent(record);
    count(Counter::UsageWindowsSent);
    LogLine(LogLevel::Info, "usage-reported")
        .with("window", record.window)
        .with("token", record.token)
        .with("accounts", record.counts.size())
        .with("calls", callsOf(record.counts))
        .with("age_ms", m_peers.timeOfDay() - m_book.windowEnd(record.window))
        .with("gateways", m_peers.recentIncarnations(livenessTimeout).size() + 1);
}

void UsageLink::noteFailure(std::string_view step, const UsageReply &answer)
{
    LogLine(LogLevel::Warn, "usage-call-failed").with("step", step).with("reason", answer.reason);
    m_restUntil = std::max(m_restUntil, RuntimeClock::now() + failurePause);
}

void UsageLink::noteHolder()
{
    if (!m_duty.lastKnown() || m_duty.lastKnown()->record.holder == m_holder)
        return;
    const UsageRecord &record = m_duty.lastKnown()->record;
    m_holder = record.holder;
    LogLine(LogLevel::Info, "usage-holder")
        .with("holder", record.holder.vm.text)
        .with("token", record.token)
        .with("window", record.window);
}

} // namespace reachlead

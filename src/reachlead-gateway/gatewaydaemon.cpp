// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "gatewaydaemon.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>
#include <reachlead/sleep.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// Between looks at what is due: removals held back, idle connections past their limit.
constexpr Duration tickInterval = milliseconds(250);

/// From the order to stop until the last accept: the balancer asks each second, and takes a VM out
/// after two answers in a row that are not 200. What is taken later might not end before the limit.
constexpr Duration stopNotice = milliseconds(2700);

/// From the end of the calls that are left until the process ends: their answers are on the way.
constexpr Duration lastAnswers = milliseconds(150);

/// Part of the stop's limit after which what is left is cut, so that callers are told by an end
/// rather than by the kill.
constexpr double stopPart = 0.94;

constexpr Duration stopLook = milliseconds(50); ///< between looks whether all work has ended

GatewayPeers::Options peerOptions(const GatewaySettings &settings, Counters *counters)
{
    GatewayPeers::Options options = settings.peers;
    options.counters = counters;
    return options;
}

PlacementLink::Options placementOptions(const GatewaySettings &settings, Counters *counters)
{
    PlacementLink::Options options = settings.placement;
    options.counters = counters;
    return options;
}

UsageLink::Options usageOptions(const GatewaySettings &settings, Counters *counters)
{
    UsageLink::Options options = settings.usage;
    options.counters = counters;
    return options;
}

} // namespace

GatewayDaemon::GatewayDaemon(const GatewaySettings &settings, const HeaderCodec &headerCodec,
                             const SourceFactory &source, const UsagePlatformFactory &usagePlatform,
                             Reload reload)
    : m_settings(settings), m_headerCodec(headerCodec), m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_state(settings.state),
      m_shared{m_io,       m_state,     headerCodec,
               m_counters, m_latencies, ConnectionPool(m_io.get_executor())},
      m_forwarder(settings.forwarder, m_shared),
      m_peers(m_io, peerOptions(settings, &m_counters), m_state),
      m_crashes(m_state, m_peers, &m_counters,
                [this](const QuarantinedRequest &request) { m_source->publish(request); }),
      m_crashWatch(m_io, m_shared.pool, m_state, m_counters,
                   [this](const RequestDigest &request, const UpstreamId &upstream) {
                       m_crashes.upstreamCrashed(request, upstream);
                   }),
      m_placement(m_io, placementOptions(settings, &m_counters), m_state, m_peers),
      m_usage(m_io, usageOptions(settings, &m_counters), m_peers, usagePlatform(m_io)),
      m_ready(m_io, settings.ready,
              [this](HttpRequest ask) { return answerReady(std::move(ask)); }),
      m_operators(m_io, settings.operators,
                  [this](HttpRequest ask) { return answerOperator(std::move(ask)); }),
      m_source(source(m_io, &m_counters)), m_reload(std::move(reload))
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    m_shared.selector = &m_placement;
    m_shared.crashDetector = &m_crashWatch;
    m_shared.onRequestCleared = [this](const RequestDigest &request) {
        m_crashes.requestCompleted(request);
    };
    m_shared.onExecutionStarted = [this](const AccountName &account) {
        m_usage.callStarted(account);
    };
    m_state.onUpstreamsWithdrawn([this](const std::vector<UpstreamId> &left) {
        std::ranges::for_each(left, [this](const UpstreamId &id) { m_shared.pool.closeIdle(id); });
    });
    m_state.onChange([this] { m_peers.announce(); });
    m_source->start(&m_state, m_peers.self());
    asio::co_spawn(m_io, signalLoop(), asio::detached);
    asio::co_spawn(m_io, tickLoop(), asio::detached);
}

void GatewayDaemon::run()
{
    LogLine(LogLevel::Info, "start")
        .with("version", REACHLEAD_VERSION)
        .with("vm", m_settings.state.vm.text)
        .with("zone", m_settings.state.zone.text)
        .with("callers", m_forwarder.port())
        .with("ready", m_ready.port())
        .with("operators", m_operators.port())
        .with("peers", m_peers.port())
        .with("store", m_settings.store.text())
        .with("seeds", m_settings.peers.seeds.size());
    m_io.run();
    LogLine(LogLevel::Info, "ended");
}

asio::awaitable<void> GatewayDaemon::signalLoop()
{
    while (true) {
        boost::system::error_code ec;
        const int got =
            co_await m_signals.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        if (got == SIGHUP) {
            applyReload();
            continue;
        }
        LogLine(LogLevel::Info, "stop")
            .with("signal", got)
            .with("open_connections", m_forwarder.openConnections())
            .with("repeated", m_shared.stopping);
        if (!m_shared.stopping)
            asio::co_spawn(m_io, stopOrderly(), asio::detached);
        m_shared.stopping = true;
    }
}

/// Takes over what may change while calls are at work; addresses need a restart.
void GatewayDaemon::applyReload()
{
    const auto settings = m_reload();
    LogLine(settings ? LogLevel::Info : LogLevel::Error, "reload")
        .with("good", settings.has_value());
    if (!settings)
        return;
    m_peers.setSeeds(settings->peers.seeds);
    m_peers.setKeys(settings->peers.keys);
    setLogLevel(static_cast<LogLevel>(settings->logLevel));
}

asio::awaitable<void> GatewayDaemon::stopOrderly()
{
    const Time began = RuntimeClock::now();
    const Time limit = began + fromSeconds(toSeconds(m_settings.stopLimit) * stopPart);
    m_forwarder.beginStop();
    m_placement.beginStop();
    co_await sleepFor(m_io, std::min<Duration>(stopNotice, limit - began));
    m_forwarder.closeIdle();
    while (m_forwarder.openConnections() > 0 && RuntimeClock::now() < limit)
        co_await sleepFor(m_io, stopLook);
    const std::size_t cut = m_forwarder.openConnections();
    m_forwarder.terminateCalls();
    if (cut > 0)
        co_await sleepFor(m_io, lastAnswers);
    m_forwarder.abortAll();
    LogLine(cut > 0 ? LogLevel::Warn : LogLevel::Info, "stopped").with("connections_cut", cut);
    m_source->stop();
    m_usage.stop();
    m_peers.stop();
    m_io.stop();
}

asio::awaitable<void> GatewayDaemon::tickLoop()
{
    while (true) {
        m_state.tick();
        m_shared.pool.closeExpired();
        followPlatform();
        const bool ready = m_state.isReady() && !m_shared.stopping;
        if (std::exchange(m_lastReady, ready) != ready)
            LogLine(LogLevel::Info, ready ? "ready" : "not-ready")
                .with("config_version", m_state.configVersion())
                .with("upstreams", m_state.directory().entries().size());
        m_counters.set(Gauge::SettingsVersion, static_cast<std::int64_t>(m_state.configVersion()));
        m_counters.set(Gauge::Draining, m_shared.stopping ? 1 : 0);
        co_await sleepFor(m_io, tickInterval);
    }
}

/// Takes or gives up the duty to watch the store, and what comes with it.
void GatewayDaemon::followPlatform()
{
    const std::set<VmName> heard = m_peers.livePeers();
    const bool watches = m_state.shouldWatch(heard);
    m_source->setWatching(watches);
    m_source->setServedByPeers(m_state.isReady() && m_state.isConfirmed());
    const Time now = RuntimeClock::now();
    if (!watches || !m_roster.isCheckDue(now))
        return;
    Roster known;
    for (const GatewayEntry &entry : m_state.roster().gateways)
        known.emplace(entry.vm, entry);
    const auto roster = m_roster.rosterToWrite(known, m_peers.liveGateways(),
                                               rendezvousPosition(m_state.vm(), heard), now);
    if (!roster)
        return;
    GatewayRoster made{m_state.roster().revision, {}};
    std::ranges::copy(*roster | std::views::values, std::back_inserter(made.gateways));
    m_source->publish(std::move(made));
}

asio::awaitable<HttpResponse> GatewayDaemon::answerReady(HttpRequest ask)
{
    HttpResponse reply;
    if (ask.pathOnly() != m_headerCodec.readyPath())
        reply.status = 404;
    else if (!m_state.isReady() || m_shared.stopping)
        reply.status = 503;
    co_return reply;
}

asio::awaitable<HttpResponse> GatewayDaemon::answerOperator(HttpRequest ask)
{
    HttpResponse reply;
    if (ask.pathOnly() == "/metrics")
        reply.body = m_counters.page() + m_latencies.prometheusText();
    else
        reply.status = 404;
    co_return reply;
}

} // namespace reachlead

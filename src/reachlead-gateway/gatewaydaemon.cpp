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

/// Interval of periodic work, such as delayed removals and the expiry of idle connections.
constexpr Duration tickInterval = milliseconds(250);

/// Time from the stop signal until the last accept. The load balancer checks readiness once a
/// second and removes a VM after two consecutive answers other than 200. Calls accepted later might
/// not end before the time limit.
constexpr Duration stopNoticePeriod = milliseconds(2700);

/// Time from the termination of the remaining calls until the process exits, to deliver their
/// answers.
constexpr Duration finalAnswerPeriod = milliseconds(150);

/// Fraction of the stop's time limit after which the remaining calls are terminated, so that their
/// callers get an error answer before the process is killed.
constexpr double terminationFraction = 0.94;

constexpr Duration stopCheckInterval = milliseconds(50); ///< for the end of all calls

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
                             const StreamArchiveFactory &streamArchive, Reload reload)
    : m_settings(settings), m_headerCodec(headerCodec), m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_state(settings.state),
      m_context{m_io,       m_state,     headerCodec,
                m_counters, m_latencies, ConnectionPool(m_io.get_executor())},
      m_forwarder(settings.forwarder, m_context),
      m_peers(m_io, peerOptions(settings, &m_counters), m_state),
      m_crashLink(m_io, m_state, m_peers, &m_counters,
                  [this](const Quarantine &quarantine) { m_source->publish(quarantine); }),
      m_crashDetector(m_io, m_context.pool, m_state, m_counters,
                      [this](const std::vector<LostCall> &calls, const UpstreamId &upstream) {
                          m_crashLink.upstreamCrashed(calls, upstream);
                      }),
      m_placementLink(m_io, placementOptions(settings, &m_counters), m_state, m_peers),
      m_streamLink(m_io, m_state, m_peers, &m_counters),
      m_limitShareLink(m_io, m_state, m_peers, &m_counters),
      m_usageLink(m_io, usageOptions(settings, &m_counters), m_peers, usagePlatform(m_io)),
      m_readyServer(
          m_io, settings.ready,
          [this](HttpRequest request) { return handleReady(std::move(request)); },
          shortRequestLimits),
      m_operatorServer(
          m_io, settings.operators,
          [this](HttpRequest request) { return handleOperator(std::move(request)); },
          shortRequestLimits),
      m_source(source(m_io, &m_counters)), m_streamArchive(streamArchive(m_io)),
      m_reload(std::move(reload))
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    if (settings.pressure.isEnabled) {
        m_context.pressure = std::make_shared<Pressure>(settings.pressure, m_counters);
        m_context.pool.setSocketBuffers(settings.pressure.socketBufferBytes);
    }
    m_context.selector = &m_placementLink;
    m_context.backupSettings = settings.backups;
    m_context.streams = &m_streamLink;
    m_streamLink.start(m_streamArchive.get());
    m_context.crashDetector = &m_crashDetector;
    m_context.onRequestCleared = [this](const ContentDigest &request) {
        m_crashLink.requestCompleted(request);
    };
    m_context.onPartsBegan = [this](const PromptContents &prompt) {
        m_crashLink.partsBegan(prompt);
    };
    m_state.onQuarantineStarted([this] { m_forwarder.cancelQuarantined(); });
    m_context.onExecutionStarted = [this](const AccountName &account) {
        m_usageLink.callStarted(account);
    };
    m_state.onUpstreamsWithdrawn([this](const std::vector<UpstreamId> &withdrawn) {
        std::ranges::for_each(withdrawn,
                              [this](const UpstreamId &id) { m_context.pool.closeIdle(id); });
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
        .with("ready", m_readyServer.port())
        .with("operators", m_operatorServer.port())
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
        const int signalNumber =
            co_await m_signals.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        if (signalNumber == SIGHUP) {
            applyReload();
            continue;
        }
        LogLine(LogLevel::Info, "stop")
            .with("signal", signalNumber)
            .with("open_connections", m_forwarder.openConnections())
            .with("repeated", m_context.stopping);
        if (!m_context.stopping)
            asio::co_spawn(m_io, stopGracefully(), asio::detached);
        m_context.stopping = true;
    }
}

/// Applies the settings that can change at run time; addresses need a restart.
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

asio::awaitable<void> GatewayDaemon::stopGracefully()
{
    const Time startedAt = RuntimeClock::now();
    const Time limit =
        startedAt + fromSeconds(toSeconds(m_settings.stopLimit) * terminationFraction);
    m_forwarder.beginStop(limit);
    m_placementLink.beginStop();
    co_await sleepFor(m_io, std::min<Duration>(stopNoticePeriod, limit - startedAt));
    m_forwarder.closeIdle();
    while (m_forwarder.openConnections() > 0 && RuntimeClock::now() < limit)
        co_await sleepFor(m_io, stopCheckInterval);
    const std::size_t remaining = m_forwarder.openConnections();
    m_forwarder.terminateCalls();
    if (remaining > 0)
        co_await sleepFor(m_io, finalAnswerPeriod);
    m_forwarder.abortAll();
    LogLine(remaining > 0 ? LogLevel::Warn : LogLevel::Info, "stopped")
        .with("connections_cut", remaining);
    m_source->stop();
    m_usageLink.stop();
    m_limitShareLink.stop();
    m_peers.stop();
    m_io.stop();
}

asio::awaitable<void> GatewayDaemon::tickLoop()
{
    while (true) {
        m_state.tick();
        m_context.pool.closeExpired();
        if (m_context.pressure)
            m_context.pressure->updateGauges();
        logRankOutcomes(m_context.rankOutcomes.take(RuntimeClock::now()));
        updateWatching();
        const bool ready = m_state.isReady() && !m_context.stopping;
        if (std::exchange(m_wasReady, ready) != ready)
            LogLine(LogLevel::Info, ready ? "ready" : "not-ready")
                .with("config_version", m_state.configVersion())
                .with("upstreams", m_state.directory().entries().size());
        m_counters.set(Gauge::SettingsVersion, static_cast<std::int64_t>(m_state.configVersion()));
        if (const auto at = m_state.currentAt())
            m_counters.set(Gauge::StateAgeMs,
                           static_cast<std::int64_t>(toMillis(RuntimeClock::now() - *at)));
        m_counters.set(Gauge::Draining, m_context.stopping ? 1 : 0);
        const Time dueAt = RuntimeClock::now() + tickInterval;
        co_await sleepFor(m_io, tickInterval);
        m_lag.ran(dueAt, RuntimeClock::now());
        reportLoad();
    }
}

/// Reports how late this process runs, and reads what its peers sent.
void GatewayDaemon::reportLoad()
{
    const GatewayPeers::ReadStats read = m_peers.takeReadStats();
    m_counters.set(Gauge::LoopLagMs, static_cast<std::int64_t>(toMillis(m_lag.last())));
    m_counters.set(Gauge::PeerDelayMs, static_cast<std::int64_t>(toMillis(read.longestDelay)));
    m_counters.set(Gauge::PeerBatch, static_cast<std::int64_t>(read.largestBatch));
    const auto lag = m_lag.takeLongLag(RuntimeClock::now());
    if (!lag)
        return;
    LogLine(LogLevel::Warn, "loop-late")
        .with("late_ms", static_cast<std::int64_t>(toMillis(*lag)))
        .with("peer_delay_ms", static_cast<std::int64_t>(toMillis(read.longestDelay)))
        .with("peer_batch", read.largestBatch)
        .with("connections", m_forwarder.openConnections());
}

/// Starts or stops watching the store, and publishes the roster when this gateway must write it.
void GatewayDaemon::updateWatching()
{
    const std::set<VmName> livePeers = m_peers.livePeers();
    const bool isWatcher = m_state.shouldWatch(livePeers);
    m_source->setVerifyAfter(m_state.verifyAfter(livePeers));
    m_source->setWatching(isWatcher);
    m_source->setServedByPeers(m_state.isReady() && m_state.isConfirmed());
    const Time now = RuntimeClock::now();
    if (!isWatcher || !m_rosterPublisher.isCheckDue(now))
        return;
    Roster known; // as stored
    if (!m_state.roster().isUnreadable) {
        for (const GatewayEntry &entry : m_state.roster().gateways)
            known.emplace(entry.vm, entry);
    }
    const auto roster = m_rosterPublisher.rosterToWrite(
        known, m_peers.liveGateways(), rendezvousPosition(m_state.vm(), livePeers), now);
    if (!roster)
        return;
    GatewayRoster published{m_state.roster().revision, {}};
    std::ranges::copy(*roster | std::views::values, std::back_inserter(published.gateways));
    m_source->publish(std::move(published));
}

asio::awaitable<HttpResponse> GatewayDaemon::handleReady(HttpRequest request)
{
    HttpResponse response;
    if (request.pathOnly() != m_headerCodec.readyPath())
        response.status = 404;
    else if (!m_state.isReady() || m_context.stopping)
        response.status = 503;
    co_return response;
}

asio::awaitable<HttpResponse> GatewayDaemon::handleOperator(HttpRequest request)
{
    HttpResponse response;
    if (request.pathOnly() == "/metrics")
        response.body = m_counters.page() + m_latencies.prometheusText();
    else
        response.status = 404;
    co_return response;
}

} // namespace reachlead

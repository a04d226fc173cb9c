// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentdaemon.h"

#include <boost/json.hpp>

#include <reachlead/log.h>

namespace reachlead {

namespace json = boost::json;

namespace {

constexpr milliseconds stopPoll{20};

void apply(AgentCore &core, UpstreamToken &event, Time now)
{
    core.upstreamToken(event.key, event.text, now);
}

void apply(AgentCore &core, UpstreamDone &event, Time now)
{
    core.upstreamDone(event.key, now);
}

void apply(AgentCore &core, UpstreamAnswer &event, Time now)
{
    if (event.retryAfter)
        core.upstreamRequestedBackoff(*event.retryAfter, now);
    core.upstreamAnswer(event.key, event.reply.status, std::move(event.reply.headers),
                        std::move(event.reply.body), now);
}

void apply(AgentCore &core, UpstreamFailure &event, Time now)
{
    if (event.retryAfter)
        core.upstreamRequestedBackoff(*event.retryAfter, now);
    if (event.upstreamExited)
        core.upstreamExited(event.key, now);
    core.upstreamFailed(event.key, event.kind, event.outcome, event.reason, now);
}

HttpResponse jsonReply(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

AgentDaemon::AgentDaemon(AgentSettings settings)
    : m_settings(std::move(settings)), m_keys(m_settings.fleetKeyFile)
{
    if (const auto fault = m_keys.open())
        throw std::runtime_error(*fault);
    m_settings.sessions.keys = &m_keys;
    m_settings.sessions.incarnation = makeIncarnation();
    m_settings.sessions.counters = &m_counters;
    m_settings.operators.counters = &m_counters;
    m_settings.upstream.counters = &m_counters;
    m_upstream = std::make_unique<UpstreamClient>(m_settings.upstream, [this] {
        m_sessions->post([this](AgentCore &core) { takeUpstreamEvents(core); });
    });
    SessionServer::ActionHandlers outlets;
    outlets.start = [this](const StartUpstreamCall &call) { m_upstream->start(call); };
    outlets.cancel = [this](const CancelUpstreamCall &call) { m_upstream->cancel(call); };
    outlets.claim = [this](const MakeClaim &c) { claim(c); };
    outlets.release = [this](const ReleaseClaim &c) {
        if (m_claims)
            m_claims->release(c);
    };
    startClaims();
    m_sessions = std::make_unique<SessionServer>(m_settings.sessions, std::move(outlets));
    m_operators = std::make_unique<AdminServer>(m_settings.operators, pages());
    LogLine(LogLevel::Info, "started")
        .with("vm", m_settings.sessions.vm.text)
        .with("zone", m_settings.sessions.zone.text)
        .with("target", m_settings.sessions.target.text)
        .with("sessions", m_sessions->port())
        .with("operators", m_operators->port());
}

AgentDaemon::~AgentDaemon()
{
    m_operators.reset();
    // The other threads post to the gate's; they end first.
    m_upstream->join();
    if (m_claims)
        m_claims->join();
    m_sessions.reset();
    m_upstream.reset();
}

void AgentDaemon::startClaims()
{
    if (!m_settings.platform)
        return;
    ClaimWriter::Options options;
    options.target = m_settings.sessions.target;
    options.service = *m_settings.platform;
    options.callTimeout = m_settings.platformLimit;
    options.counters = &m_counters;
    m_claims = std::make_unique<ClaimWriter>(options, [this](const ClaimCompleted &ended) {
        m_sessions->post([ended](AgentCore &core) {
            core.claimCompleted(ended.key, ended.result, RuntimeClock::now());
        });
    });
}

void AgentDaemon::claim(const MakeClaim &claim)
{
    if (m_claims) {
        m_claims->claim(claim);
        return;
    }
    m_sessions->post([key = claim.key](AgentCore &core) {
        core.claimCompleted(key, ClaimResult::StoreDown, RuntimeClock::now());
    });
}

void AgentDaemon::takeUpstreamEvents(AgentCore &core)
{
    const Time now = RuntimeClock::now();
    for (UpstreamEvent &event : m_upstream->takeEvents())
        std::visit([&](auto &e) { apply(core, e, now); }, event);
}

void AgentDaemon::stop()
{
    m_sessions->post([](AgentCore &core) { core.drain(); });
    const auto limit = RuntimeClock::now() + m_settings.stopLimit;
    bool idle = false;
    while (!idle && RuntimeClock::now() < limit) {
        idle = m_sessions->query<bool>([](AgentCore &core) { return core.idle(); }).get();
        if (!idle)
            std::this_thread::sleep_for(stopPoll);
    }
    LogLine(idle ? LogLevel::Info : LogLevel::Warn, "stopped").with("idle", idle);
}

std::map<std::string, AdminServer::Page> AgentDaemon::pages()
{
    const auto drains = [this](bool drain) {
        return [this, drain](const HttpRequest &) {
            m_sessions->post([drain](AgentCore &core) {
                if (drain)
                    core.drain();
                else
                    core.undrain();
            });
            return jsonReply(drain ? "{\"draining\":true}" : "{\"draining\":false}");
        };
    };
    return {
        {"GET /status",
         {AdminRole::Read, [this](const HttpRequest &) { return jsonReply(status()); }}},
        {"POST /drain", {AdminRole::Write, drains(true)}},
        {"POST /undrain", {AdminRole::Write, drains(false)}},
    };
}

std::string AgentDaemon::status()
{
    const Load load =
        m_sessions->query<Load>([](AgentCore &core) { return core.load(std::nullopt); }).get();
    return json::serialize(json::object{{"vm", m_settings.sessions.vm.text},
                                        {"zone", m_settings.sessions.zone.text},
                                        {"role", "agent"},
                                        {"target", m_settings.sessions.target.text},
                                        {"window", load.window},
                                        {"running", load.running},
                                        {"queued", load.queued},
                                        {"token_gap_us", load.tokenGapMicros},
                                        {"leaving", load.leaving}});
}

} // namespace reachlead

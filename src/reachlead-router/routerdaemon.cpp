// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routerdaemon.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <reachlead/log.h>

#include "operators/daemon.h"

namespace reachlead {

namespace json = boost::json;

namespace {

constexpr milliseconds stopPoll{20};

/// For the answers to requests that are ended at a stop.
constexpr milliseconds finalAnswerPeriod{500};

json::object toJson(const AgentStatus &agent)
{
    return {{"agent", agent.name.text},      {"zone", agent.zone.text},
            {"target", agent.target.text},   {"up", agent.up},
            {"leaving", agent.leaving},      {"window", agent.load.window},
            {"running", agent.load.running}, {"queued", agent.load.queued},
            {"mine", agent.localRequests},   {"token_gap_us", agent.load.tokenGapMicros},
            {"circuit", agent.circuit}};
}

HttpResponse jsonReply(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

RouterDaemon::RouterDaemon(RouterSettings settings)
    : m_settings(std::move(settings)), m_keys(m_settings.fleetKeyFile)
{
    if (const auto fault = m_keys.open())
        throw std::runtime_error(*fault);
    m_settings.dispatcher.keys = &m_keys;
    const Incarnation incarnation = makeIncarnation();
    m_settings.dispatcher.incarnation = incarnation;
    m_settings.dispatcher.counters = &m_counters;
    m_settings.callers.incarnation = incarnation;
    m_settings.callers.counters = &m_counters;
    m_settings.platform.counters = &m_counters;
    m_settings.operators.counters = &m_counters;

    // The two threads know each other through these functions alone; no request can come before
    // the settings have, and those come last.
    m_dispatcher = std::make_unique<Dispatcher>(
        m_settings.dispatcher,
        [this](AnswerChannelPtr slot) { m_callers->notifyReady(std::move(slot)); },
        [this](std::vector<TargetName> targets) { m_callers->setTargets(std::move(targets)); });
    m_callers = std::make_unique<CallerServer>(
        m_settings.callers,
        CallerHooks{
            [this](Tier tier, CallerRequest request, AnswerChannelPtr slot) {
                return m_dispatcher->submit(tier, std::move(request), std::move(slot));
            },
            [this](const AnswerChannelPtr &slot) { m_dispatcher->callerStateChanged(slot); }});
    m_follower = std::make_unique<PlatformFollower>(
        m_settings.platform,
        [this](const PoliciesPtr &policies) {
            m_dispatcher->setPolicies(policies);
            m_callers->setPolicies(policies);
        },
        [this](std::vector<Member> members) { m_dispatcher->setMembers(std::move(members)); });
    m_operators = std::make_unique<AdminServer>(m_settings.operators, pages());
    LogLine(LogLevel::Info, "started")
        .with("vm", m_settings.dispatcher.vm.text)
        .with("zone", m_settings.dispatcher.zone.text)
        .with("callers", m_callers->port())
        .with("operators", m_operators->port());
}

RouterDaemon::~RouterDaemon()
{
    m_operators.reset();
    m_follower.reset();
    // The dispatcher announces to the callers' server, which hands requests to the dispatcher:
    // the server's thread ends first, its object last.
    m_callers->join();
    m_dispatcher.reset();
    m_callers.reset();
}

void RouterDaemon::stop()
{
    m_callers->beginStop();
    std::this_thread::sleep_for(m_settings.stopNotice);
    m_callers->stopAccepting();
    const auto limit = RuntimeClock::now() + m_settings.stopLimit;
    while (m_callers->busyConnections() > 0 && RuntimeClock::now() < limit)
        std::this_thread::sleep_for(stopPoll);
    const std::size_t ended = m_callers->busyConnections();
    if (ended > 0)
        endRequests();
    const std::size_t left = m_callers->busyConnections();
    LogLine(ended == 0 ? LogLevel::Info : LogLevel::Warn, "stopped")
        .with("ended", ended)
        .with("cut_off", left);
}

/// Answers the requests that are still in progress, and waits until the callers have the answers.
void RouterDaemon::endRequests()
{
    const std::function<bool(RouterCore &)> end = [](RouterCore &core) {
        core.endRequests(RuntimeClock::now());
        return true;
    };
    m_dispatcher->query<bool>(end).get();
    const auto limit = RuntimeClock::now() + finalAnswerPeriod;
    while (m_callers->busyConnections() > 0 && RuntimeClock::now() < limit)
        std::this_thread::sleep_for(stopPoll);
}

std::map<std::string, AdminServer::Page> RouterDaemon::pages()
{
    return {
        {"GET /status",
         {AdminRole::Read, [this](const HttpRequest &) { return jsonReply(status()); }}},
        {"GET /route",
         {AdminRole::Read,
          [this](const HttpRequest &ask) {
              return jsonReply(route(ask.queryParameter("target")));
          }}},
        {"POST /drain",
         {AdminRole::Write,
          [](const HttpRequest &) {
              StopSignal::raise();
              return jsonReply("{\"draining\":true}");
          }}},
    };
}

std::string RouterDaemon::status()
{
    auto asked = m_dispatcher->query<std::pair<std::vector<AgentStatus>, std::size_t>>(
        [](RouterCore &core) { return std::pair(core.agents(), core.openRequests()); });
    const auto [agents, open] = asked.get();
    const PlatformFollower::Status settings = m_follower->status();
    json::array list;
    for (const AgentStatus &agent : agents)
        list.push_back(toJson(agent));
    return json::serialize(json::object{{"vm", m_settings.dispatcher.vm.text},
                                        {"zone", m_settings.dispatcher.zone.text},
                                        {"role", "router"},
                                        {"open_requests", open},
                                        {"settings",
                                         {{"version", static_cast<std::uint64_t>(settings.version)},
                                          {"digest", fmt::format("{:016x}", settings.digest)},
                                          {"reason", settings.reason},
                                          {"platform_up", settings.platformUp}}},
                                        {"agents", list}});
}

std::string RouterDaemon::route(const std::string &target)
{
    auto asked = m_dispatcher->query<std::vector<RouteCandidate>>([target](RouterCore &core) {
        return core.explain(TargetName(target), RuntimeClock::now());
    });
    json::array list;
    for (const RouteCandidate &view : asked.get()) {
        json::object row = toJson(view.agent);
        row["cost"] = view.cost;
        row["ruled_out"] = view.exclusionReason;
        list.push_back(std::move(row));
    }
    return json::serialize(json::object{{"target", target}, {"candidates", list}});
}

} // namespace reachlead

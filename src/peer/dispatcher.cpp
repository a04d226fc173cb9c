// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/dispatcher.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/post.hpp>

#include <reachlead/log.h>
#include <reachlead/subset.h>

#include "peer/messageauth.h"

namespace reachlead {

namespace asio = boost::asio;
using asio::ip::udp;

Dispatcher::Dispatcher(Options options, std::function<void(AnswerChannelPtr)> onEvents,
                       std::function<void(std::vector<TargetName>)> onTargets)
    : m_options(std::move(options)), m_onEvents(std::move(onEvents)),
      m_onTargets(std::move(onTargets)), m_work(m_io.get_executor()),
      m_changedChannels(m_options.maxOpenRequests * 2,
                        [this] { asio::post(m_io, [this] { handleCallerStates(); }); }),
      m_tick(m_io),
      m_heartbeatSocket(m_io, udp::endpoint(asio::ip::make_address(m_options.address), 0))
{
    m_core = RouterCore::Builder()
                 .zone(m_options.zone)
                 .incarnation(m_options.incarnation)
                 .tuning(m_options.tuning)
                 .seed(m_options.incarnation.value)
                 .counters(m_options.counters)
                 .build();
    for (auto &ring : m_arrivals) {
        ring = std::make_unique<ArrivalRing>(
            arrivalRingSize, [this] { asio::post(m_io, [this] { handleArrivals(); }); });
    }
    m_context.vm = m_options.vm;
    m_context.incarnation = m_options.incarnation;
    m_context.heartbeatPort = m_heartbeatSocket.local_endpoint().port();
    m_context.counters = m_options.counters;
    m_context.keys = m_options.keys;
    m_context.onUp = [this](const Welcome &welcome) {
        m_core->agentConnected(welcome, RuntimeClock::now());
        performActions();
        reportTargets();
    };
    m_context.onDown = [this](const VmName &agent) {
        m_core->agentDisconnected(agent, RuntimeClock::now());
        performActions();
    };
    m_context.onMessage = [this](const VmName &agent, const ToRouter &message) {
        m_core->agentMessage(agent, message, RuntimeClock::now());
        performActions();
    };
    m_thread = std::thread([this] { run(); });
}

Dispatcher::~Dispatcher()
{
    asio::post(m_io, [this] {
        for (auto &[name, link] : m_links)
            link->remove();
        m_links.clear();
        m_tick.cancel();
        boost::system::error_code ignored;
        m_heartbeatSocket.close(ignored);
        m_work.reset();
        // Links first write their queued frames; a connection still open after that is closed by
        // stopping the loop.
        auto shutdownTimer = std::make_shared<Timer>(m_io, milliseconds(200));
        shutdownTimer->async_wait(
            [this, shutdownTimer](boost::system::error_code) { m_io.stop(); });
    });
    m_thread.join();
}

void Dispatcher::run()
{
    scheduleTick();
    receiveHeartbeat();
    m_io.run();
}

bool Dispatcher::submit(Tier tier, CallerRequest request, AnswerChannelPtr channel)
{
    ArrivalRing &ring = *m_arrivals.at(indexOf(tier));
    if (ring.push({std::move(request), std::move(channel)}))
        return true;
    m_options.counters->add(Counter::RingFull);
    return false;
}

void Dispatcher::callerStateChanged(const AnswerChannelPtr &channel)
{
    if (!m_changedChannels.push(channel))
        m_options.counters->add(Counter::RingFull);
}

void Dispatcher::setMembers(std::vector<Member> members)
{
    // Selected on the caller's thread, as in a large fleet this takes longer than a dispatch may
    // be delayed.
    auto picked = pickAgents(members, m_options.vm, m_options.zone);
    asio::post(m_io, [this, members = std::move(members), picked = std::move(picked)] {
        applyMembers(members, picked);
    });
}

void Dispatcher::setPolicies(PoliciesPtr policies)
{
    asio::post(m_io, [this, policies = std::move(policies)] { m_core->setPolicies(policies); });
}

void Dispatcher::stopAccepting()
{
    asio::post(m_io, [this] { m_core->stop(); });
}

/// Submits the pending requests to the core, highest tier first.
void Dispatcher::handleArrivals()
{
    const Time now = RuntimeClock::now();
    for (auto &ring : m_arrivals) {
        for (Arrival &arrival : ring->drain()) {
            m_channels[arrival.request.id] = arrival.channel;
            m_core->submitRequest(std::move(arrival.request), now);
        }
    }
    performActions();
}

void Dispatcher::handleCallerStates()
{
    const Time now = RuntimeClock::now();
    for (const AnswerChannelPtr &channel : m_changedChannels.drain()) {
        const auto [isDisconnected, consumedTokens] = channel->takeCallerState();
        if (isDisconnected)
            m_core->callerDisconnected(channel->id(), now);
        else if (consumedTokens > 0)
            m_core->callerConsumed(channel->id(), consumedTokens);
    }
    performActions();
}

void Dispatcher::performActions()
{
    for (RouterAction &action : m_core->takeActions())
        std::visit([this](auto &a) { perform(a); }, action);
}

void Dispatcher::perform(SendToCaller &action)
{
    const auto it = m_channels.find(action.id);
    if (it == m_channels.end())
        return;
    const AnswerChannelPtr channel = it->second;
    if (std::holds_alternative<AnswerResult>(action.event))
        m_channels.erase(it);
    if (channel->put(std::move(action.event)))
        m_onEvents(channel);
}

void Dispatcher::perform(SendToAgent &action)
{
    const auto it = m_links.find(action.agent);
    // A link that is down has notified the core, which queries the agent after the reconnect.
    if (it != m_links.end())
        it->second->send(action.message);
}

void Dispatcher::perform(DropSession &action)
{
    const auto it = m_links.find(action.agent);
    if (it != m_links.end())
        it->second->drop(action.reason);
}

void Dispatcher::applyMembers(const std::vector<Member> &members, const std::set<VmName> &picked)
{
    const Time now = RuntimeClock::now();
    std::map<VmName, Member> agents;
    for (const Member &member : members) {
        // A session is kept while it has running requests, even if the agent is no longer assigned
        // to this router.
        const bool hasRequests = m_links.contains(member.vm) && m_core->requestsAt(member.vm) > 0;
        if (member.role == MemberRole::Agent && (picked.contains(member.vm) || hasRequests))
            agents.emplace(member.vm, member);
    }
    std::erase_if(m_links, [&](auto &entry) {
        const auto it = agents.find(entry.first);
        const Member &old = entry.second->member();
        const bool hasMoved = it != agents.end()
            && (it->second.address != old.address || it->second.port != old.port);
        if (it != agents.end() && !hasMoved)
            return false;
        entry.second->remove();
        m_core->removeAgent(entry.first, now);
        return true;
    });
    for (const auto &[name, member] : agents) {
        if (!m_links.contains(name)) {
            m_links[name] = std::make_shared<AgentLink>(m_io, m_context, member);
            m_links[name]->start();
        }
        m_core->setAgentLeaving(name, member.leaving, now);
    }
    updateLimitShare(members);
    performActions();
    reportTargets();
}

void Dispatcher::reportTargets()
{
    std::vector<TargetName> targets = m_core->targets();
    if (targets == m_reportedTargets)
        return;
    m_reportedTargets = targets;
    m_onTargets(std::move(targets));
}

/// Each router enforces an equal share of every account's limits.
void Dispatcher::updateLimitShare(const std::vector<Member> &members)
{
    const auto routers = std::ranges::count_if(members, [](const Member &member) {
        return member.role == MemberRole::Router && !member.leaving;
    });
    m_core->setAccountLimitShare(1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, routers)));
}

void Dispatcher::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_core->tick(RuntimeClock::now());
        performActions();
        scheduleTick();
    });
}

void Dispatcher::receiveHeartbeat()
{
    m_heartbeatSocket.async_receive_from(
        asio::buffer(m_heartbeatBuffer), m_heartbeatSender,
        [this](boost::system::error_code ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            std::string reason;
            const auto heartbeat =
                decodeHeartbeat(std::string_view(m_heartbeatBuffer.data(), ec ? 0 : n), &reason);
            const bool isAuthentic = heartbeat && heartbeat->version == protocolVersion
                && m_options.keys->keys().verify(heartbeatSigningInput(*heartbeat),
                                                 heartbeat->proof);
            if (isAuthentic) {
                m_core->heartbeat(*heartbeat, RuntimeClock::now());
                performActions();
            } else {
                m_options.counters->add(Counter::HostileFrames);
            }
            receiveHeartbeat();
        });
}

} // namespace reachlead

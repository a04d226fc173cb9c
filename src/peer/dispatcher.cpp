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

Dispatcher::Dispatcher(Options options, std::function<void(AnswerChannelPtr)> announce,
                       std::function<void(std::vector<TargetName>)> onTargets)
    : m_options(std::move(options)), m_announce(std::move(announce)),
      m_onTargets(std::move(onTargets)), m_work(m_io.get_executor()),
      m_looks(m_options.maxOpenRequests * 2, [this] { asio::post(m_io, [this] { takeLooks(); }); }),
      m_tick(m_io), m_heartbeats(m_io, udp::endpoint(asio::ip::make_address(m_options.address), 0))
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
            arrivalsPerTier, [this] { asio::post(m_io, [this] { takeArrivals(); }); });
    }
    m_context.vm = m_options.vm;
    m_context.incarnation = m_options.incarnation;
    m_context.heartbeatPort = m_heartbeats.local_endpoint().port();
    m_context.counters = m_options.counters;
    m_context.keys = m_options.keys;
    m_context.onUp = [this](const Welcome &welcome) {
        m_core->agentConnected(welcome, RuntimeClock::now());
        act();
        tellTargets();
    };
    m_context.onDown = [this](const VmName &agent) {
        m_core->agentDisconnected(agent, RuntimeClock::now());
        act();
    };
    m_context.onMessage = [this](const VmName &agent, const ToRouter &message) {
        m_core->agentMessage(agent, message, RuntimeClock::now());
        act();
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
        m_heartbeats.close(ignored);
        m_work.reset();
        // Links write their last frames first; anything that still hangs is cut here.
        auto limit = std::make_shared<Timer>(m_io, milliseconds(200));
        limit->async_wait([this, limit](boost::system::error_code) { m_io.stop(); });
    });
    m_thread.join();
}

void Dispatcher::run()
{
    scheduleTick();
    readHeartbeat();
    m_io.run();
}

bool Dispatcher::submit(Tier tier, CallerRequest request, AnswerChannelPtr slot)
{
    ArrivalRing &ring = *m_arrivals.at(indexOf(tier));
    if (ring.push({std::move(request), std::move(slot)}))
        return true;
    m_options.counters->add(Counter::RingFull);
    return false;
}

void Dispatcher::callerStateChanged(const AnswerChannelPtr &slot)
{
    if (!m_looks.push(slot))
        m_options.counters->add(Counter::RingFull);
}

void Dispatcher::setMembers(std::vector<Member> members)
{
    // Ranked on the caller's thread: in a large fleet this takes longer than a dispatch may wait.
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

/// Takes what arrived, the highest tier first.
void Dispatcher::takeArrivals()
{
    const Time now = RuntimeClock::now();
    for (auto &ring : m_arrivals) {
        for (Arrival &arrival : ring->drain()) {
            m_slots[arrival.request.id] = arrival.slot;
            m_core->submitRequest(std::move(arrival.request), now);
        }
    }
    act();
}

void Dispatcher::takeLooks()
{
    const Time now = RuntimeClock::now();
    for (const AnswerChannelPtr &slot : m_looks.drain()) {
        const auto [gone, took] = slot->takeCallerState();
        if (gone)
            m_core->callerDisconnected(slot->id(), now);
        else if (took > 0)
            m_core->callerConsumed(slot->id(), took);
    }
    act();
}

void Dispatcher::act()
{
    for (RouterAction &action : m_core->takeActions())
        std::visit([this](auto &a) { perform(a); }, action);
}

void Dispatcher::perform(SendToCaller &action)
{
    const auto it = m_slots.find(action.id);
    if (it == m_slots.end())
        return;
    const AnswerChannelPtr slot = it->second;
    if (std::holds_alternative<AnswerResult>(action.event))
        m_slots.erase(it);
    if (slot->put(std::move(action.event)))
        m_announce(slot);
}

void Dispatcher::perform(SendToAgent &action)
{
    const auto it = m_links.find(action.agent);
    // A link that is down has told the core, which asks again once it is up.
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
        // A session is kept while its requests run, also when another router has the agent now.
        const bool busy = m_links.contains(member.vm) && m_core->requestsAt(member.vm) > 0;
        if (member.role == MemberRole::Agent && (picked.contains(member.vm) || busy))
            agents.emplace(member.vm, member);
    }
    std::erase_if(m_links, [&](auto &entry) {
        const auto it = agents.find(entry.first);
        const Member &old = entry.second->member();
        const bool moved = it != agents.end()
            && (it->second.address != old.address || it->second.port != old.port);
        if (it != agents.end() && !moved)
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
    shareLimits(members);
    act();
    tellTargets();
}

void Dispatcher::tellTargets()
{
    std::vector<TargetName> targets = m_core->targets();
    if (targets == m_targetsTold)
        return;
    m_targetsTold = targets;
    m_onTargets(std::move(targets));
}

/// Each router enforces an equal part of every account's limits.
void Dispatcher::shareLimits(const std::vector<Member> &members)
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
        act();
        scheduleTick();
    });
}

void Dispatcher::readHeartbeat()
{
    m_heartbeats.async_receive_from(
        asio::buffer(m_heartbeatBytes), m_heartbeatFrom,
        [this](boost::system::error_code ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            std::string reason;
            const auto beat =
                decodeHeartbeat(std::string_view(m_heartbeatBytes.data(), ec ? 0 : n), &reason);
            const bool good = beat && beat->version == protocolVersion
                && m_options.keys->keys().verify(heartbeatSigningInput(*beat), beat->proof);
            if (good) {
                m_core->heartbeat(*beat, RuntimeClock::now());
                act();
            } else {
                m_options.counters->add(Counter::HostileFrames);
            }
            readHeartbeat();
        });
}

} // namespace reachlead

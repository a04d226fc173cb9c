// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The dispatching thread of a router: the core, and the links to agents.

#pragma once

#include <array>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/answerchannel.h>
#include <reachlead/platform.h>
#include <reachlead/ringbuffer.h>
#include <reachlead/routercore.h>

#include "peer/agentlink.h"

namespace reachlead {

/// Owns the router's core. The public functions may be called from any thread.
class Dispatcher
{
public:
    struct Options
    {
        VmName vm;
        ZoneName zone;
        std::string address = "127.0.0.1"; ///< IP number heartbeats come to
        RouterTuning tuning;
        std::size_t maxOpenRequests = 8192; ///< open requests over all callers
        Incarnation incarnation;
        FleetKeyFile *keys = nullptr; ///< must outlive the dispatcher
        Counters *counters = nullptr;
    };

    /// \p announce is called on the dispatching thread with each slot that has events,
    /// \p onTargets there with the targets that agents serve, when they change.
    Dispatcher(Options options, std::function<void(AnswerChannelPtr)> announce,
               std::function<void(std::vector<TargetName>)> onTargets);
    ~Dispatcher();

    /// Hands a request over. False when the ring of its tier is full: nothing was taken.
    bool submit(Tier tier, CallerRequest request, AnswerChannelPtr slot);
    /// Has the dispatching thread look at what the caller said in the slot.
    void callerStateChanged(const AnswerChannelPtr &slot);
    /// Takes a new membership list.
    void setMembers(std::vector<Member> members);
    void setPolicies(PoliciesPtr policies);
    /// Refuses requests from now on; those accepted go on.
    void stopAccepting();

    /// Runs \p ask on the dispatching thread with the core and gives its answer.
    template <class Answer> std::future<Answer> query(std::function<Answer(RouterCore &)> question)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        boost::asio::post(m_io, [this, promise, question = std::move(question)] {
            promise->set_value(question(*m_core));
        });
        return promise->get_future();
    }

private:
    static constexpr Duration tickInterval = milliseconds(5);
    static constexpr std::size_t arrivalsPerTier = 2048;

    struct Arrival
    {
        CallerRequest request;
        AnswerChannelPtr slot;
    };
    using ArrivalRing = RingBuffer<Arrival>;

    void run();
    void takeArrivals();
    void takeLooks();
    void act();
    void perform(SendToCaller &action);
    void perform(SendToAgent &action);
    void perform(DropSession &action);
    void applyMembers(const std::vector<Member> &members, const std::set<VmName> &picked);
    void shareLimits(const std::vector<Member> &members);
    void scheduleTick();
    void readHeartbeat();
    void tellTargets();

    Options m_options;
    std::function<void(AnswerChannelPtr)> m_announce;
    std::function<void(std::vector<TargetName>)> m_onTargets;
    std::vector<TargetName> m_targetsTold;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<RouterCore> m_core;
    LinkContext m_context;
    std::map<VmName, std::shared_ptr<AgentLink>> m_links;
    std::unordered_map<RequestId, AnswerChannelPtr> m_slots;
    std::array<std::unique_ptr<ArrivalRing>, tierCount> m_arrivals;
    RingBuffer<AnswerChannelPtr> m_looks;
    Timer m_tick;
    boost::asio::ip::udp::socket m_heartbeats;
    boost::asio::ip::udp::endpoint m_heartbeatFrom;
    std::array<char, 1024> m_heartbeatBytes{};
    std::thread m_thread;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The dispatching thread of a router, which runs its core and its links to agents.

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
        std::string address = "127.0.0.1"; ///< local IP address that receives heartbeats
        RouterTuning tuning;
        std::size_t maxOpenRequests = 8192; ///< of all callers together
        Incarnation incarnation;
        FleetKeyFile *keys = nullptr; ///< must outlive the dispatcher
        Counters *counters = nullptr;
    };

    /// Both callbacks run on the dispatching thread: \p onEvents for each channel that has new
    /// events, \p onTargets with the targets that agents serve, when these change.
    Dispatcher(Options options, std::function<void(AnswerChannelPtr)> onEvents,
               std::function<void(std::vector<TargetName>)> onTargets);
    ~Dispatcher();

    /// Submits a request. Returns false, with the request not accepted, when its tier's ring is
    /// full.
    bool submit(Tier tier, CallerRequest request, AnswerChannelPtr channel);
    /// Notifies the dispatching thread that the channel has new caller state.
    void callerStateChanged(const AnswerChannelPtr &channel);
    /// Sets the members of the fleet and connects to the agents among them that this router uses.
    void setMembers(std::vector<Member> members);
    void setPolicies(PoliciesPtr policies);
    /// Refuses new requests; accepted ones continue.
    void stopAccepting();

    /// Runs \p function on the dispatching thread with the core and returns its result.
    template <class Result> std::future<Result> query(std::function<Result(RouterCore &)> function)
    {
        auto promise = std::make_shared<std::promise<Result>>();
        boost::asio::post(m_io, [this, promise, function = std::move(function)] {
            promise->set_value(function(*m_core));
        });
        return promise->get_future();
    }

private:
    static constexpr Duration tickInterval = milliseconds(5);
    static constexpr std::size_t arrivalRingSize = 2048;

    struct Arrival
    {
        CallerRequest request;
        AnswerChannelPtr channel;
    };
    using ArrivalRing = RingBuffer<Arrival>;

    void run();
    void handleArrivals();
    void handleCallerStates();
    void performActions();
    void perform(SendToCaller &action);
    void perform(SendToAgent &action);
    void perform(DropSession &action);
    void applyMembers(const std::vector<Member> &members, const std::set<VmName> &picked);
    void updateLimitShare(const std::vector<Member> &members);
    void scheduleTick();
    void receiveHeartbeat();
    void reportTargets();

    Options m_options;
    std::function<void(AnswerChannelPtr)> m_onEvents;
    std::function<void(std::vector<TargetName>)> m_onTargets;
    std::vector<TargetName> m_reportedTargets;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<RouterCore> m_core;
    LinkContext m_context;
    std::map<VmName, std::shared_ptr<AgentLink>> m_links;
    std::unordered_map<RequestId, AnswerChannelPtr> m_channels;
    std::array<std::unique_ptr<ArrivalRing>, tierCount> m_arrivals;
    RingBuffer<AnswerChannelPtr> m_changedChannels;
    Timer m_tick;
    boost::asio::ip::udp::socket m_heartbeatSocket;
    boost::asio::ip::udp::endpoint m_heartbeatSender;
    std::array<char, 1024> m_heartbeatBuffer{};
    std::thread m_thread;
};

} // namespace reachlead

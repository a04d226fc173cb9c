// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test fixture: two gateways that place each other's calls over real datagrams.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <fmt/format.h>

#include "peer/placementlink.h"

namespace reachlead {

/// Two gateways of one fleet on a paused clock. `scheduler` places all calls of the service.
struct PlacementPair
{
    static constexpr Time start{seconds(1000)};
    static constexpr unsigned upstreamCount = 3;

    static FleetKeys keys(const std::string &text)
    {
        std::string reason;
        return FleetKeys::parse(text, &reason).value();
    }

    static std::vector<UpstreamEntry> upstreams(unsigned n)
    {
        std::vector<UpstreamEntry> all;
        for (unsigned it = 0; it < n; ++it) {
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", it));
            entry.service = ServiceName("llm");
            entry.slots = 64;
            all.push_back(entry);
        }
        return all;
    }

    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             bool queues)
            : state(stateOptions(vm)), peers(io, peerOptions(vm, key, &counters), state),
              link(io, linkOptions(&counters, queues), state, peers)
        {
            state.configRead(config());
            state.upstreamsListed(upstreams(upstreamCount), 1);
        }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        /// Two routes to the service, of urgency ranks 0 and 1.
        static RoutingConfig config()
        {
            RoutingConfig config;
            config.version = 1;
            for (const unsigned rank : {0U, 1U}) {
                Route route;
                route.name = fmt::format("r{}", rank);
                route.priority = rank;
                route.targetLatencyMs = 600;
                route.services = {{ServiceName("llm"), 1.0}};
                config.routes.push_back(route);
            }
            return config;
        }
        static GatewayState::Options stateOptions(const std::string &vm)
        {
            GatewayState::Options options;
            options.vm = VmName(vm);
            options.costs.speeds.isEnabled = true;
            return options;
        }
        static GatewayPeers::Options peerOptions(const std::string &vm, const std::string &key,
                                                 Counters *counters)
        {
            GatewayPeers::Options options;
            options.self = {VmName(vm), {"127.0.0.1", 0}};
            options.keys = keys(key);
            options.counters = counters;
            return options;
        }
        static PlacementLink::Options linkOptions(Counters *counters, bool queues)
        {
            PlacementLink::Options options;
            options.counters = counters;
            options.refusal.waitTargets = 0.25;
            options.queue.isEnabled = queues;
            return options;
        }
        GatewayEntry entry() const { return peers.self(); }
        std::uint32_t running(const UpstreamId &id)
        {
            return state.upstreams().load(id, RuntimeClock::now()).running;
        }

        Counters counters;
        GatewayState state;
        GatewayPeers peers;
        PlacementLink link;
    };

    /// \p queues: calls wait at the scheduler.
    explicit PlacementPair(const std::string &otherKey = "the key of this fleet",
                           bool queues = false)
    {
        RuntimeClock::pause(start);
        const GroupName group{ServiceName("llm"), 0};
        const std::set<VmName> names{VmName("a"), VmName("b")};
        const VmName first = *electScheduler(group, names);
        const VmName second = first == VmName("a") ? VmName("b") : VmName("a");
        scheduler = std::make_unique<Node>(io, first.text, otherKey, queues);
        querier = std::make_unique<Node>(io, second.text, "the key of this fleet", queues);
        const std::vector<GatewayEntry> gateways{scheduler->entry(), querier->entry()};
        scheduler->state.gatewaysChanged({1, gateways});
        querier->state.gatewaysChanged({1, gateways});
    }
    ~PlacementPair()
    {
        io.stop();
        RuntimeClock::resume();
    }
    PlacementPair(const PlacementPair &) = delete;
    PlacementPair &operator=(const PlacementPair &) = delete;

    void advance(Duration d)
    {
        constexpr Duration step = milliseconds(5);
        for (Duration elapsed{}; elapsed < d; elapsed += step) {
            RuntimeClock::advance(step);
            io.restart();
            io.run_for(std::chrono::milliseconds(3));
            deliver();
        }
    }

    /// Runs all ready handlers, and waits for datagrams that were sent and have not arrived. The
    /// kernel of a busy machine delivers them late, while the paused clock would go on.
    void deliver()
    {
        constexpr int maxPolls = 1000;
        constexpr int maxWaits = 100; // of 1 ms
        const auto runReady = [&] {
            for (int n = 0; n < maxPolls && io.poll() > 0; ++n) { }
        };
        runReady();
        for (int n = 0; n < maxWaits && pendingDatagrams() > lostDatagrams; ++n) {
            io.run_for(std::chrono::milliseconds(1));
            runReady();
        }
        lostDatagrams = pendingDatagrams();
    }

    /// Datagrams that were sent and not received, or received from elsewhere if negative.
    std::int64_t pendingDatagrams() const
    {
        std::int64_t pending = 0;
        for (const Node *it : {scheduler.get(), querier.get()}) {
            pending += static_cast<std::int64_t>(it->counters.value(Counter::PeerDatagramsSent));
            pending -=
                static_cast<std::int64_t>(it->counters.value(Counter::PeerDatagramsReceived));
        }
        return pending;
    }

    /// Requests a placement at the querying gateway; `placed` is empty until there is a result.
    void query() { queryAt(*querier); }
    void queryAt(Node &node)
    {
        placed.reset();
        boost::asio::co_spawn(io, queryOnce(node), boost::asio::detached);
    }
    boost::asio::awaitable<void> queryOnce(Node &node)
    {
        SelectionQuery selectionQuery{ServiceName("llm"), "m", prompt, nullptr};
        selectionQuery.slack = slack;
        selectionQuery.cancel = &cancel;
        selectionQuery.mayRefuse = mayRefuse;
        selectionQuery.mayHold = true;
        selectionQuery.softwareVersion = softwareVersion ? &*softwareVersion : nullptr;
        PlacementResult result = co_await node.link.select(selectionQuery);
        if (result.selection)
            node.state.upstreams().sent(result.selection->upstream, selectionQuery,
                                        *result.selection, RuntimeClock::now());
        placed = std::move(result);
    }

    /// Makes the scheduler believe that each engine has \p tokens still to be prefilled.
    void load(TokenCount tokens) const
    {
        LoadByUpstream load;
        for (const UpstreamEntry &entry : upstreams(upstreamCount))
            load[entry.id] = {1, tokens, 0};
        scheduler->state.upstreams().setPeerLoad(VmName("third"), {load}, RuntimeClock::now());
    }

    /// Sends a note on a call of a gateway to the scheduler, as that gateway would.
    void sendNote(const VmName &from, QueryId queryId, bool isWithdrawn) const
    {
        const WaitingCallNote note{
            from, querier->peers.incarnation(), {ServiceName("llm"), 0}, queryId, isWithdrawn};
        querier->peers.sendTo(scheduler->entry().address, PeerMessageKind::WaitingCallNote,
                              encodeWaitingCallNote(note));
    }

    std::vector<PromptPart> prompt{{1, 4'000}, {2, 3'000}};
    boost::asio::io_context io{1};
    std::unique_ptr<Node> scheduler;
    std::unique_ptr<Node> querier;
    std::int64_t lostDatagrams = 0; ///< sent to an address at which nothing listens
    std::optional<PlacementResult> placed;
    LatencySlack slack{milliseconds(600), seconds(6), {}, 1}; ///< of the queries
    bool mayRefuse = true; ///< of the queries
    CancelSignal cancel; ///< of the queries
    std::optional<SoftwareVersion> softwareVersion; ///< of the queries
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test fixture: gateways of one fleet that exchange real datagrams, on a paused clock.

#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include "peer/gatewaypeers.h"

namespace reachlead {

/// The key of the gateways in a test, unless one is to be a stranger.
inline constexpr const char *testFleetKey = "the key of this fleet";

inline GatewayState::Options testStateOptions(const std::string &vm)
{
    GatewayState::Options options;
    options.vm = VmName(vm);
    return options;
}

inline GatewayPeers::Options testPeerOptions(const std::string &vm, const std::string &key,
                                             std::vector<Endpoint> seeds)
{
    GatewayPeers::Options options;
    options.self = {VmName(vm), {"127.0.0.1", 0}};
    options.seeds = std::move(seeds);
    std::string reason;
    options.keys = FleetKeys::parse(key, &reason).value();
    return options;
}

/// Gateways, each with the first as its seed. A Node is made from an io_context, a name, a key and
/// seeds, and has `peers`.
template <class Node> struct TestFleet
{
    static constexpr Time start{seconds(1000)};

    explicit TestFleet(std::size_t n)
    {
        RuntimeClock::pause(start);
        for (std::size_t it = 0; it < n; ++it)
            add("g" + std::to_string(it));
        advance(seconds(2));
    }
    ~TestFleet()
    {
        nodes.clear();
        lost.clear();
        io.stop();
        RuntimeClock::resume();
    }
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    Node &add(const std::string &vm, const std::string &key = testFleetKey)
    {
        std::vector<Endpoint> seeds;
        if (!nodes.empty())
            seeds.push_back({"127.0.0.1", nodes.front()->peers.port()});
        nodes.push_back(std::make_unique<Node>(io, vm, key, seeds));
        return *nodes.back();
    }

    /// Stops the last gateways, so that \p n are left. They are destroyed with the fleet, since
    /// coroutines of theirs may still be resumed.
    void keepFirst(std::size_t n)
    {
        for (; nodes.size() > n; nodes.pop_back()) {
            nodes.back()->peers.stop();
            lost.push_back(std::move(nodes.back()));
        }
    }

    void advance(Duration d)
    {
        constexpr Duration step = milliseconds(10);
        constexpr int maxPolls = 1000;
        for (Duration elapsed{}; elapsed < d; elapsed += step) {
            RuntimeClock::advance(step);
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            // Datagrams arrive when they are sent, so that all effects of this step are seen in it
            // however little processor time this process gets.
            for (int n = 0; n < maxPolls && io.poll() > 0; ++n) { }
        }
    }

    /// Advances until each gateway knows all of them, as it does where the registry lists them.
    /// Heartbeats alone spread the members of a fleet over several seconds.
    void advanceUntilAllAreKnown()
    {
        const auto knowsAll = [this](const std::unique_ptr<Node> &node) {
            return node->peers.livePeers().size() + 1 == nodes.size();
        };
        constexpr Duration limit = seconds(30);
        for (Duration elapsed{}; elapsed < limit; elapsed += seconds(1)) {
            if (std::ranges::all_of(nodes, knowsAll))
                return;
            advance(seconds(1));
        }
        CPPUNIT_FAIL("the gateways do not know each other");
    }

    boost::asio::io_context io{1};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> lost;
};

} // namespace reachlead

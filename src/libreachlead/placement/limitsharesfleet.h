// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Test fixture: gateways that lend each other shares of a limit, without a network.

#pragma once

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include <reachlead/placement/limitshares.h>

namespace reachlead {

/// Gateways that share the limit of one upstream. The test delivers their messages.
struct LimitSharesFleet
{
    static constexpr Time start{seconds(1000)};
    static constexpr CallRate limit{2200};

    static UpstreamId upstream() { return UpstreamId("limited"); }

    /// A gateway and its shares. Its VM has one incarnation at a time.
    struct Gateway
    {
        GatewayIncarnation id;
        LimitShares shares;
        LimitShare need{}; ///< of its own calls
        bool isLost = false; ///< its process has ended

        std::uint32_t usable(Time now) const
        {
            return isLost ? 0 : shares.usable(upstream(), now).millionths;
        }

        std::vector<LimitShares::Request> ask(const std::set<VmName> &lenders, std::size_t maxCount,
                                              Time now)
        {
            const LimitNeed all{upstream(), need, limit};
            return shares.makeRequests(id, std::span(&all, 1), lenders, maxCount, now);
        }

        std::optional<LimitShareGrant> lend(const LimitShareRequest &request, Time now)
        {
            return shares.lend(
                id.vm, request, [this](const UpstreamId &, CallRate) { return need; }, now);
        }
    };

    explicit LimitSharesFleet(std::size_t n)
    {
        for (std::size_t it = 0; it < n; ++it)
            add(std::nullopt);
        setSize(n);
    }

    Gateway &add(std::optional<Time> startedAt)
    {
        const VmName vm(fmt::format("g{}", incarnations));
        gateways.push_back({{vm, Incarnation{++incarnations}}, {}, {}, false});
        if (startedAt)
            gateways.back().shares.setStarted(*startedAt);
        return gateways.back();
    }

    void setSize(std::size_t n)
    {
        for (Gateway &gateway : gateways)
            gateway.shares.setFleet(n);
    }

    void restart(std::size_t n, Time now)
    {
        Gateway &gateway = gateways[n];
        gateway = {{gateway.id.vm, Incarnation{++incarnations}}, {}, gateway.need, false};
        gateway.shares.setFleet(gateways.size());
        gateway.shares.setStarted(now);
    }

    std::set<VmName> others(const Gateway &gateway) const
    {
        std::set<VmName> vms;
        for (const Gateway &it : gateways)
            vms.insert(it.id.vm);
        vms.erase(gateway.id.vm);
        return vms;
    }

    Gateway &find(const VmName &vm)
    {
        return *std::ranges::find(gateways, vm, [](const Gateway &it) { return it.id.vm; });
    }

    std::uint32_t used(Time now) const
    {
        return std::accumulate(
            gateways.begin(), gateways.end(), std::uint32_t{0},
            [&](std::uint32_t sum, const Gateway &it) { return sum + it.usable(now); });
    }

    /// Lets a gateway ask all others without losses.
    void exchange(Gateway &borrower, Time now)
    {
        for (const auto &[lender, request] : borrower.ask(others(borrower), gateways.size(), now)) {
            if (const auto grant = find(lender).lend(request, now))
                borrower.shares.borrow(*grant, now);
        }
    }

    std::vector<Gateway> gateways;
    std::uint64_t incarnations = 0;
};

} // namespace reachlead

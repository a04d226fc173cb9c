// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which gateways follow the platform's store themselves, and which hear of it from the others.

#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The place of a gateway in an order that all gateways share, by a hash over its name: how many of
/// \p others go before it.
std::size_t rendezvousPosition(const VmName &self, const std::set<VmName> &others);

/// The first \p n of the others in an order that each gateway has for itself, so that what each
/// tells a few is spread over all.
std::vector<VmName> rendezvousPeers(const VmName &self, const std::set<VmName> &others,
                                    std::size_t n);

/// Decides whether this gateway watches the store. Not thread-safe, reads no clock.
///
/// Each waiting watch is a priced call, and the store's rates grow more slowly than the fleet, so
/// only the first watchers gateways by a hash over their names watch; the rest follow their beats.
/// No one is relied on: a gateway whose peers do not vouch for a state younger than staleLimit
/// watches by itself, whatever its rank. Two lists that differ make a few watch too many or too
/// few for a moment, which the limit mends.
///
/// Where no gateway is vouched for, the first by that order go ahead, so that the others can be
/// vouched for by them: a fleet that loses its watchers at once has few calls more than it had. A
/// gateway that has just started knows few of the others, and so not its place in the order; where
/// there are seeds, they watch until the limit has passed.
class WatcherElection
{
public:
    struct Options
    {
        /// Age at which a state that peers vouch for counts as stale: three quarters of the bound
        /// in which a configuration must be in force, so that a look at the store can still follow.
        Duration staleLimit = milliseconds(1500);
        bool hasSeeds = false; ///< all gateways tell some of themselves first
        bool isSeed = false; ///< this one is among those
    };

    /// The part of a bound on changes that Options::staleLimit takes.
    static constexpr double staleFraction = 0.75;

    explicit WatcherElection(VmName self) : WatcherElection(std::move(self), Options()) { }
    WatcherElection(VmName self, const Options &options)
        : m_self(std::move(self)), m_options(options)
    { }

    /// A peer vouches that this gateway's state was current at \p at.
    void confirmed(Time at);

    /// True when nobody vouched for the state within the limit.
    bool isStale(Time now) const { return m_vouchedAt + m_options.staleLimit < now; }

    /// The process began to run at \p now; peers get the limit to be heard before it watches.
    void start(Time now)
    {
        m_vouchedAt = now;
        m_begin = now;
    }

    /// True when this gateway should watch, given the other gateways that live.
    bool isWatcher(const std::set<VmName> &others, Time now) const;

    /// Gateways that watch at the same time: enough that the loss of any one VM, or of the store's
    /// favour for one, does not delay a change.
    static constexpr std::size_t watcherCount = 3;

    /// Part of the limit by which the last gateway of the order watches later than the first.
    static constexpr double maxStaggerFraction = 0.2;

private:
    VmName m_self;
    Options m_options;
    Time m_vouchedAt{};
    Time m_begin{};
};

} // namespace reachlead

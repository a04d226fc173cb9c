// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Elects the gateways that watch the platform's store; the others receive its state from them.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The position of a gateway in the order by the hash of the names, which is the same at all
/// gateways: the number of \p others before it.
std::size_t rendezvousPosition(const VmName &self, const std::set<VmName> &others);

/// The first \p n of the others in the rendezvous order of \p self, which is different at each
/// gateway, so that messages that each one sends to few others are spread over all.
std::vector<VmName> rendezvousPeers(const VmName &self, const std::set<VmName> &others,
                                    std::size_t n);

/// Decides whether this gateway watches the store. Not thread-safe, reads no clock.
///
/// Each pending watch is a billed call, and the store's rate limits grow more slowly than the
/// fleet, so only the first watcherCount gateways by the hash of their names watch; the others
/// follow the heartbeats of these. There is no dependency on a single gateway: one whose peers
/// confirm no state younger than staleLimit watches as well, whatever its position. If gateways
/// know different peers, a few too many or too few watch for a moment, which the limit corrects.
///
/// If no gateway's state is confirmed, gateways start to watch in that order, so that the first
/// ones can confirm the state of the others: a fleet that loses all watchers at once makes few more
/// calls than before. A gateway that has just started knows few of the others and so not its
/// position; if there are seeds, these watch until the limit has passed.
class WatcherElection
{
public:
    struct Options
    {
        /// Age from which a state confirmed by peers is stale: three quarters of the time within
        /// which a configuration must be in force, so that a read of the store still fits in.
        Duration staleLimit = milliseconds(1500);
        bool hasSeeds = false; ///< all gateways first announce themselves to seeds
        bool isSeed = false; ///< this gateway is a seed
    };

    /// Options::staleLimit as a fraction of the time within which changes must be in force.
    static constexpr double staleFraction = 0.75;

    explicit WatcherElection(VmName self) : WatcherElection(std::move(self), Options()) { }
    WatcherElection(VmName self, const Options &options)
        : m_self(std::move(self)), m_options(options)
    { }

    /// A peer confirms that this gateway's state was current at \p at.
    void confirmed(Time at);

    /// True if no peer confirmed the state within the limit.
    bool isStale(Time now) const { return m_confirmedAt + m_options.staleLimit < now; }

    /// The process started at \p now. Heartbeats of peers have the stale limit to arrive before it
    /// watches.
    void start(Time now)
    {
        m_confirmedAt = now;
        m_startedAt = now;
    }

    /// True if this gateway should watch, given the other live gateways.
    bool isWatcher(const std::set<VmName> &others, Time now) const;

    /// The age of the state from which a gateway that watches verifies it, given the other live
    /// gateways. The first one verifies it early enough to confirm the state of all others. Each
    /// of the next does so only after the one before it has failed to.
    Duration verifyAfter(const std::set<VmName> &others) const;

    /// Fractions of the stale limit for verifyAfter(), by position. Between the first two there is
    /// time for a heartbeat of the first to be lost.
    static constexpr std::array<double, 4> verifyFractions{0.4, 0.7, 0.8, 0.9};

    /// Gateways that watch at the same time: enough that no change is delayed if one VM is lost or
    /// the store stops serving one gateway.
    static constexpr std::size_t watcherCount = 3;

    /// Delay from the first to the last gateway in the order, as a fraction of the stale limit.
    static constexpr double maxStaggerFraction = 0.2;

private:
    VmName m_self;
    Options m_options;
    Time m_confirmedAt{};
    Time m_startedAt{};
};

} // namespace reachlead

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
std::size_t rankAmong(const VmName &self, const std::set<VmName> &others);

/// The first \p n of the others in an order that each gateway has for itself, so that what each
/// tells a few is spread over all.
std::vector<VmName> firstFor(const VmName &self, const std::set<VmName> &others, std::size_t n);

/// Decides whether this gateway watches the store. Not thread-safe, reads no clock.
///
/// Each waiting watch is a priced call, and the store's rates grow more slowly than the fleet, so
/// only the first watchers gateways by a hash over their names watch; the rest follow their beats.
/// No one is relied on: a gateway whose peers do not vouch for a state younger than staleLimit
/// watches by itself, whatever its rank. Two lists that differ make a few watch too many or too
/// few for a moment, which the limit mends.
class WatchDuty
{
public:
    explicit WatchDuty(VmName self) : m_self(std::move(self)) { }

    /// A peer vouches that this gateway's state was current at \p at.
    void vouched(Time at);

    /// The process began to run at \p now; peers get staleLimit to be heard before it watches.
    void begin(Time now)
    {
        m_vouchedAt = now;
        m_begin = now;
    }

    /// True when this gateway should watch, given the other gateways that live.
    bool isOn(const std::set<VmName> &others, Time now) const;

    /// Gateways that watch at the same time: enough that the loss of any one VM, or of the store's
    /// favour for one, does not delay a change.
    static constexpr std::size_t watchers = 3;

    /// Age at which a state that peers vouch for counts as stale: a look of a watcher at the store
    /// and two rounds of beats, and below the two seconds in which a configuration must be in
    /// force.
    static constexpr Duration staleLimit = milliseconds(1500);

private:
    VmName m_self;
    Time m_vouchedAt{};
    Time m_begin{};
};

} // namespace reachlead

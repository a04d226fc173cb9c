// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gateways that recently did not reply to a query.

#pragma once

#include <map>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Tracks gateways that did not reply, so that only the first call in each backoff waits for a
/// gateway that has exited, is frozen or is partitioned. Not thread-safe, reads no clock.
class UnresponsiveGateways
{
public:
    /// How long a gateway is not queried after its first missing reply; doubles with each further
    /// one up to maxBackoff. A killed process is restarted within seconds.
    static constexpr Duration initialBackoff = seconds(1);
    static constexpr Duration maxBackoff = seconds(8);

    /// No reply to a query arrived in time, or the gateway declined it.
    void recordFailure(const VmName &vm, Time now);

    /// A reply arrived, in time or late.
    void recordReply(const VmName &vm) { m_backoffs.erase(vm); }

    /// True while any gateway is to be skipped.
    bool hasAny(Time now) const;

    /// True while the gateway is not to be queried.
    bool isUnresponsive(const VmName &vm, Time now) const;

private:
    struct Backoff
    {
        Time until;
        Duration duration{};
    };

    std::map<VmName, Backoff> m_backoffs;
};

} // namespace reachlead

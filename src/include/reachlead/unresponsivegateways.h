// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gateways that lately left a question without an answer.

#pragma once

#include <map>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Remembers who did not answer, so that only the first call in a while waits for a gateway that
/// is gone, frozen or cut off. Not thread-safe, reads no clock.
class UnresponsiveGateways
{
public:
    /// How long a gateway is not asked after its first missed answer; doubles with each further
    /// one. A process that was killed is back after some seconds.
    static constexpr Duration initialBackoff = seconds(1);
    static constexpr Duration maxBackoff = seconds(8);

    /// A question was not answered in time, or was declined.
    void recordFailure(const VmName &vm, Time now);

    /// An answer came, in time or not.
    void recordReply(const VmName &vm) { m_silent.erase(vm); }

    /// True when any gateway is passed over.
    bool hasAny(Time now) const;

    /// True while the gateway is not to be asked.
    bool isUnresponsive(const VmName &vm, Time now) const;

private:
    struct Silence
    {
        Time until;
        Duration pause{};
    };

    std::map<VmName, Silence> m_silent;
};

} // namespace reachlead

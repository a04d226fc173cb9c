// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The questions of a gateway about where its calls are to be placed.

#pragma once

#include <map>
#include <optional>
#include <set>

#include <reachlead/placementgroups.h>
#include <reachlead/silentgateways.h>
#include <reachlead/upstreambook.h>

namespace reachlead {

/// Decides whom to ask, and numbers the questions. Not thread-safe, reads no clock.
///
/// Nobody is relied on: a gateway that did not answer is passed over for a while, and the next in
/// rank is asked. So for moments two gateways may place for one group, which only makes their
/// choices worse.
class OpenAsks
{
public:
    explicit OpenAsks(VmName self) : m_self(std::move(self)) { }

    /// The gateway to ask for a group, of the \p strong ones, or of \p all if these are silent; it
    /// may be this one.
    VmName schedulerFor(const GroupName &group, const std::set<VmName> &strong,
                        const std::set<VmName> &all, Time now) const;

    /// A question is asked of \p scheduler; its number.
    AskNumber open(const VmName &scheduler);

    /// An answer came, in time or not. False for a question that is not open any more.
    bool answered(AskNumber number, const VmName &scheduler);

    /// The question's outcome is in this gateway's own load, or will never be.
    void conclude(AskNumber number) { m_open.erase(number); }

    /// No answer came in time, or the scheduler declined.
    void missed(AskNumber number, Time now);

    /// All questions before this one are concluded.
    AskNumber openFrom() const;

    std::size_t openCount() const { return m_open.size(); }

private:
    VmName m_self;
    AskNumber m_last = 0;
    std::map<AskNumber, VmName> m_open;
    SilentGateways m_silent;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides whether an upstream has room for one more call.

#pragma once

#include <cstdint>

#include <reachlead/clock.h>

namespace reachlead {

/// What a scheduler sends ahead to an upstream. Pure.
///
/// Load pattern: calls arrive faster than the upstreams can begin with them. What waits at an
/// upstream cannot be reordered, nor go to another one that becomes free first, so an upstream gets
/// no more than it needs to stay busy, and the rest waits at the scheduler.
struct UpstreamRoom
{
    /// Longest queue of an upstream that still takes a call: a few round trips between a gateway
    /// and its scheduler, so that it does not run idle while its next call is on the way.
    Duration maxAhead = milliseconds(50);

    /// True if an upstream can begin with a call in time. \p wait is the predicted queueing time.
    bool canBegin(Duration wait, std::uint32_t running, unsigned slots) const
    {
        return running < slots && wait <= maxAhead;
    }
};

} // namespace reachlead

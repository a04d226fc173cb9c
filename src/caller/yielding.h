// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects the connections that end in favour of new callers when a server has as many as it may.

#pragma once

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <utility>
#include <vector>

#include <reachlead/clock.h>

namespace reachlead {

/// Fraction of the connections that yield at a time, as the search for them looks at all.
constexpr std::size_t yieldDivisor = 64;

/// Returns whether one more connection may be opened beside \p open ones, of which \p yielding are
/// about to end. Those count, too, but a few more than \p limit may be open for a moment.
constexpr bool isRoomLeft(std::size_t open, std::size_t yielding, std::size_t limit)
{
    constexpr std::size_t overflowDivisor = 16;
    constexpr std::size_t minOverflow = 8;
    return open - yielding < limit && open < limit + std::max(minOverflow, limit / overflowDivisor);
}

/// A connection that waits for a request, or for the rest of one.
template <class Connection> struct YieldCandidate
{
    Duration unproductive{}; ///< how long the connection has been open to no use
    Connection connection;
};

/// Makes the candidates yield that have been open longest to no use. Returns how many did.
template <class Connection>
std::size_t yieldConnections(std::vector<YieldCandidate<Connection>> candidates, std::size_t limit)
{
    using Candidate = YieldCandidate<Connection>;
    const std::size_t n =
        std::min(candidates.size(), std::max<std::size_t>(1, limit / yieldDivisor));
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(n),
                              std::ranges::greater{}, &Candidate::unproductive);
    for (const Candidate &it : candidates | std::views::take(n))
        it.connection->yield();
    return n;
}

} // namespace reachlead

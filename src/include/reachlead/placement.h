// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The choice of an upstream for a request that is about to leave the queue.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

#include <reachlead/ids.h>

namespace reachlead {

/// An upstream with room, as the router sees it.
struct Candidate
{
    VmName agent;
    bool sameZone = true;
    std::uint32_t window = 1; ///< requests it would run at once, > 0
    std::uint32_t used = 0; ///< best estimate of those it runs or holds
    double slowness = 1.0; ///< its time between tokens against the median of its siblings
    double prefixShare = 0.0; ///< part of the prompt it may have cached, 0 … 1: a hint
};

using Random = std::mt19937_64;

/// Chooses among candidates. Not thread-safe.
class Placement
{
public:
    virtual ~Placement() = default;

    /// The index of the chosen candidate; none when the span is empty.
    virtual std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                              Random &random) = 0;
};

enum class PlacementRule : std::uint8_t {
    TwoChoices, ///< the better of two random ones, own zone first
    LeastUsed, ///< the fewest requests held (baseline)
    RoundRobin ///< each in turn (baseline)
};

std::unique_ptr<Placement> makePlacement(PlacementRule rule);

/// The expected cost of a candidate; the lower is taken. Public for `route --explain` and tests.
double placementCost(const Candidate &candidate);

} // namespace reachlead

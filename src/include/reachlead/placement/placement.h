// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects an upstream for a request that is about to leave the queue.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>

#include <reachlead/ids.h>

namespace reachlead {

/// An upstream with spare capacity, as the router sees it.
struct Candidate
{
    VmName agent;
    bool sameZone = true;
    std::uint32_t window = 1; ///< requests it runs concurrently, > 0
    std::uint32_t used = 0; ///< estimated requests that it runs or has queued
    double slowness = 1.0; ///< its time between tokens relative to the median of its siblings
    double prefixShare = 0.0; ///< share of the prompt that it may have cached, 0 … 1: a hint
};

using Random = std::mt19937_64;

/// Selects one of several candidates. Not thread-safe.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Returns the index of the selected candidate; nullopt if the span is empty.
    virtual std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                              Random &random) = 0;
};

enum class PlacementRule : std::uint8_t {
    TwoChoices, ///< power of two choices, the local zone first
    LeastUsed, ///< the fewest requests (baseline)
    RoundRobin ///< each in turn (baseline)
};

std::unique_ptr<Placement> makePlacement(PlacementRule rule);

/// The expected cost of a candidate; the lowest wins. Public for `route --explain` and tests.
double placementCost(const Candidate &candidate);

} // namespace reachlead

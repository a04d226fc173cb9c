// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/placement.h>

#include <algorithm>
#include <array>
#include <ranges>
#include <vector>

namespace reachlead {

namespace {

/// Largest cost reduction for a cached prefix. Cache events arrive late and incompletely, so the
/// hint must never outweigh the load.
constexpr double maxPrefixBonus = 0.25;

double utilization(const Candidate &candidate)
{
    return (candidate.used + 1.0) / candidate.window;
}

class TwoChoices : public Placement
{
public:
    std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                      Random &random) override
    {
        const auto local = indicesByZone(candidates, true);
        const std::vector<std::size_t> &pool =
            local.empty() ? indicesByZone(candidates, false) : local;
        if (pool.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> distribution(0, pool.size() - 1);
        const std::size_t first = pool[distribution(random)];
        const std::size_t second = pool[distribution(random)];
        return placementCost(candidates[first]) <= placementCost(candidates[second]) ? first
                                                                                     : second;
    }

private:
    static std::vector<std::size_t> indicesByZone(std::span<const Candidate> candidates,
                                                  bool sameZone)
    {
        std::vector<std::size_t> indices;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].sameZone == sameZone)
                indices.push_back(n);
        }
        return indices;
    }
};

class LeastUsed : public Placement
{
public:
    std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                      Random & /*random*/) override
    {
        const auto it = std::ranges::min_element(candidates, {}, &Candidate::used);
        if (it == candidates.end())
            return std::nullopt;
        return static_cast<std::size_t>(it - candidates.begin());
    }
};

class RoundRobin : public Placement
{
public:
    std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                      Random & /*random*/) override
    {
        if (candidates.empty())
            return std::nullopt;
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

} // namespace

double placementCost(const Candidate &candidate)
{
    const double prefixFactor = 1.0 - maxPrefixBonus * std::clamp(candidate.prefixShare, 0.0, 1.0);
    return utilization(candidate) * candidate.slowness * prefixFactor;
}

std::unique_ptr<Placement> makePlacement(PlacementRule rule)
{
    switch (rule) {
    case PlacementRule::LeastUsed:
        return std::make_unique<LeastUsed>();
    case PlacementRule::RoundRobin:
        return std::make_unique<RoundRobin>();
    case PlacementRule::TwoChoices:
        break;
    }
    return std::make_unique<TwoChoices>();
}

} // namespace reachlead

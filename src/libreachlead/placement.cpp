// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement.h>

#include <algorithm>
#include <array>
#include <ranges>
#include <vector>

namespace reachlead {

namespace {

/// The most a cached prefix can make up for, as part of the cost. Cache events come late and with
/// gaps, so the hint must never outweigh the load.
constexpr double mostPrefixBonus = 0.25;

double usedPart(const Candidate &candidate)
{
    return (candidate.used + 1.0) / candidate.window;
}

class TwoChoices : public Placement
{
public:
    std::optional<std::size_t> select(std::span<const Candidate> candidates,
                                      Random &random) override
    {
        const auto near = pick(candidates, true);
        const std::vector<std::size_t> &pool = near.empty() ? pick(candidates, false) : near;
        if (pool.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> spread(0, pool.size() - 1);
        const std::size_t one = pool[spread(random)];
        const std::size_t two = pool[spread(random)];
        return placementCost(candidates[one]) <= placementCost(candidates[two]) ? one : two;
    }

private:
    static std::vector<std::size_t> pick(std::span<const Candidate> candidates, bool sameZone)
    {
        std::vector<std::size_t> picked;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].sameZone == sameZone)
                picked.push_back(n);
        }
        return picked;
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
        return m_turn++ % candidates.size();
    }

private:
    std::size_t m_turn = 0;
};

} // namespace

double placementCost(const Candidate &candidate)
{
    const double bonus = 1.0 - mostPrefixBonus * std::clamp(candidate.prefixShare, 0.0, 1.0);
    return usedPart(candidate) * candidate.slowness * bonus;
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

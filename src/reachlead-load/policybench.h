// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Measures the policy against simple ones, over the real decision logic and fake engines.

#pragma once

#include <cstdint>
#include <string>

namespace reachlead::bench {

struct PolicyPlan
{
    std::string scenario = "race-start"; ///< or morning-returns
    std::string fault = "none"; ///< straggler, crash, outage
    std::uint64_t firstSeed = 1;
    unsigned seeds = 5;
    bool flood = false; ///< one account sends 20 times its part
    std::string csv; ///< also written there; empty: nowhere
};

/// Runs every strategy on the same arrivals; the report holds medians over the seeds. Throws
/// std::runtime_error on an unknown name.
std::string runPolicyBench(const PolicyPlan &plan);

/// The cost of one dispatch decision at 10, 100 and 1,600 accounts, in microseconds.
std::string runCostBench();

} // namespace reachlead::bench

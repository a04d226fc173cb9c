// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The two workloads of the policy bench: who asks for what, when.

#pragma once

#include <map>
#include <string>
#include <vector>

#include <reachlead/policy.h>

#include "reachlead-load/policyrig.h"

namespace reachlead::bench {

/// One request to come.
struct Arrival
{
    Duration at{}; ///< from the start
    CallerRequest ask;
    std::string router;
};

/// A workload on a fleet.
struct Scenario
{
    PoliciesPtr policies;
    std::vector<Arrival> arrivals; ///< by time
    std::string topClass;
    std::string burstClass;
    unsigned engines = 8;
    Duration length{}; ///< in which requests arrive
    double capacityTokens = 0; ///< tokens the engines can make in time for the burst's deadline
    double burstTokens = 0; ///< tokens the burst asks for
};

/// Tokens a second of one fake engine while it keeps the time between tokens within \p target.
double engineRate(const rig::UpstreamSpeed &speed, Duration target);

/// A burst of returns at three times the capacity for 20 s, over live calls, drafting and a
/// nightly reconciliation.
Scenario morningReturns(std::uint64_t seed, bool flood);

/// Everything arrives within 2 s at four times the capacity; a late briefing is worthless.
Scenario raceStart(std::uint64_t seed, bool flood);

} // namespace reachlead::bench

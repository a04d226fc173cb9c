// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What became of the calls of each urgency rank, for the log.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/error.h>
#include <reachlead/routing.h>

namespace reachlead {

/// The end of one call.
struct CallOutcome
{
    ServiceName service;
    unsigned urgencyRank = 0; ///< 0 is the most urgent
    ErrorKind kind = ErrorKind::None; ///< None: answered
    bool hasBegun = false; ///< the caller received a part of the answer
    bool isResumption = false;
    TokenCount tokens = 0; ///< of the prompt
};

/// Counts what became of the calls of each service and urgency rank. Not thread-safe, reads no
/// clock.
class RankOutcomes
{
public:
    static constexpr Duration interval = seconds(5);
    /// Bounds the memory and the log; further services are not counted.
    static constexpr std::size_t maxServices = 64;

    struct Tally
    {
        unsigned begun = 0;
        unsigned resumed = 0; ///< of these, the ones that resumed a stream
        unsigned unserved = 0;
        TokenCount begunTokens = 0;
        TokenCount unservedTokens = 0;
        std::map<ErrorKind, unsigned> reasons; ///< of the unserved calls
    };
    using Ranks = std::map<unsigned, Tally>;

    void add(const CallOutcome &outcome);

    /// Once per interval, the tallies of the services with unserved calls since the last time.
    std::map<ServiceName, Ranks> take(Time now);

private:
    std::map<ServiceName, Ranks> m_services;
    std::optional<Time> m_takenAt;
};

/// Logs a line for each urgency rank: `rank-outcomes service=... rank=0 begun=12 ...`.
void logRankOutcomes(const std::map<ServiceName, RankOutcomes::Ranks> &services);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Holds back less urgent calls while more urgent ones are refused.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Calls of an urgency rank lack capacity, and less urgent ones are held back for a while.
struct RankHold
{
    std::uint8_t rank = 0;
    std::uint16_t leftMs = 0;

    bool operator==(const RankHold &) const = default;
    template <class Archive> void serialize(Archive &ar) { ar(rank, leftMs); }
};

using RankHolds = std::vector<RankHold>;

/// Keeps the order of urgency between calls that are refused and calls that are placed, at this
/// gateway and at others. Not thread-safe, reads no clock.
///
/// Load pattern: bursts of urgent calls fill the engines. As each call is judged by the predicted
/// wait at its own arrival, a long, less urgent call that arrives just before or after a refused
/// urgent one takes the place that the urgent one needed. So the least urgent rank gives way first:
/// a rank is refused only once nothing less urgent has been placed for a while, and less urgent
/// ranks are placed again only a while after the last refusal.
class RefusalOrder
{
public:
    /// Calls that lack capacity hold less urgent ones back for \p hold, refused ones for
    /// refusalHolds times as long.
    explicit RefusalOrder(Duration hold = defaultHold) : m_hold(hold) { }

    /// How this gateway knows of a hold. Reports tell what their sender knows itself, and replies
    /// also what it was reported. What was learned from a reply is not passed on: as datagrams take
    /// time, gateways that told each other the same would never forget it.
    enum class Source : std::uint8_t { Own, Report, Reply };

    /// Records that a call lacks capacity: it is placed where it waits, or has failed. Urgency rank
    /// 0 is the most urgent.
    void delayed(const ServiceName &service, unsigned urgencyRank, Time now);

    /// Records that a call was refused.
    void refused(const ServiceName &service, unsigned urgencyRank, Time now);

    /// Records that a call was placed.
    void placed(const ServiceName &service, unsigned urgencyRank, Time now);

    /// True if less urgent calls were placed within workTime. Engines take urgent calls before
    /// them, so the predicted wait of an urgent call is not a reason to refuse it.
    bool hasLessUrgentWork(const ServiceName &service, unsigned urgencyRank, Time now) const;

    /// How long a call must be refused because more urgent ones lack capacity; nullopt if it may be
    /// placed.
    std::optional<Duration> remainingHold(const ServiceName &service, unsigned urgencyRank,
                                          Time now) const;

    /// The holds of a service that are known from sources up to \p last, for other gateways; none:
    /// there are none.
    std::optional<RankHolds> toReport(const ServiceName &service, Source last, Time now) const;

    /// Adds what another gateway reported.
    void learn(const ServiceName &service, const RankHolds &holds, Source source, Time now);

    /// Setting. Long enough that a refused caller that retries does not find its slot taken, and
    /// that slots freed by short calls meanwhile are not taken by long ones.
    static constexpr Duration defaultHold = milliseconds(1000);

    /// Refused callers return later than delayed calls begin.
    static constexpr int refusalHolds = 4;

    /// Time for which a placed call is assumed to be at its engine.
    static constexpr Duration workTime = seconds(5);

    /// An urgency rank that is held back still has one call placed per interval, so that it does
    /// not starve.
    static constexpr Duration floorInterval = seconds(5);

private:
    struct Service
    {
        std::array<std::map<unsigned, Time>, 3> heldUntil; ///< by source and urgency rank
        std::map<unsigned, Time> placedAt; ///< by urgency rank
        std::map<unsigned, Time> placedFreelyAt; ///< the same, without those for the floor
    };

    static std::optional<Time> heldUntil(const Service &service, unsigned urgencyRank);
    void hold(const ServiceName &service, unsigned urgencyRank, Time until, Source source);

    Duration m_hold;
    std::map<ServiceName, Service> m_services;
};

} // namespace reachlead

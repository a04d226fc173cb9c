// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Holds back less urgent calls while more urgent ones are refused.

#pragma once

#include <map>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Records which calls were refused because their engines are too far behind. Not thread-safe,
/// reads no clock.
///
/// Load pattern: the most urgent calls alone fill the slots of the engines. As each call is judged
/// by the wait at its own arrival, a long, less urgent call that arrives just after a refused
/// urgent one takes the slot that the urgent one needed.
class RefusalOrder
{
public:
    /// After a refusal, less urgent calls are held back for \p hold.
    explicit RefusalOrder(Duration hold = defaultHold) : m_hold(hold) { }

    /// Records that a call was refused; urgency rank 0 is the most urgent.
    void refused(const ServiceName &service, unsigned urgencyRank, Time now);

    /// How long a call must be refused because more urgent ones were; nullopt if it may be placed.
    std::optional<Duration> remainingHold(const ServiceName &service, unsigned urgencyRank,
                                          Time now) const;

    /// Records that a call was placed.
    void placed(const ServiceName &service, unsigned urgencyRank, Time now);

    /// Setting. Long enough that a refused caller that retries does not find its slot taken, and
    /// that slots freed by short calls meanwhile are not taken by long ones.
    static constexpr Duration defaultHold = milliseconds(1000);

    /// An urgency rank that is held back still has one call placed per interval, so that it does
    /// not starve.
    static constexpr Duration floorInterval = seconds(5);

private:
    struct Service
    {
        std::map<unsigned, Time> refusedAt; ///< by urgency rank
        std::map<unsigned, Time> placedAt; ///< by urgency rank
    };

    Duration m_hold;
    std::map<ServiceName, Service> m_services;
};

} // namespace reachlead

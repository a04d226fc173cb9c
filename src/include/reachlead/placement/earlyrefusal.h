// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Refuses calls whose engines are too far behind, before they start.

#pragma once

#include <optional>
#include <span>

#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Latency requirements of a call to be placed.
struct LatencySlack
{
    Duration target{}; ///< until its first event; zero: none
    Duration timeLeft{}; ///< until its caller times out
    Duration maxWait{}; ///< EarlyRefusal::maxWait() of its class; zero: it is not refused
    unsigned urgencyRank = 0; ///< of its class; 0 is the most urgent
};

/// Decides whether a call is still useful where it would be placed. Pure.
///
/// Load pattern: prompts arrive faster than the engines can prefill them. Each engine prefills its
/// queue in order, so all first events are delayed further and further, until nearly all prefill
/// work is done for callers that have already timed out. With early refusal some callers learn at
/// once when to retry, and the others are served in time.
struct EarlyRefusal
{
    /// Longest queueing time of the least urgent calls, in multiples of their target; the rest of
    /// the target is left for their own prompt and the steps of the engine. A late answer is still
    /// useful, but each waiting call also delays those behind it, and an engine that prefills
    /// continuously slows the decoding of its other streams. Setting; 0 disables refusal.
    double waitTargets = 0.1;

    /// The same for the most urgent calls; classes in between get a value in between. Engines
    /// prefill more urgent calls first, so less of the predicted wait applies to them.
    double urgentWaitTargets = 1.0;

    /// Share of the caller's remaining time that is reserved for the answer itself.
    double answerShare = 0.5;

    /// The longest queueing time of calls of a class with \p target. It is never shorter than that
    /// of a less urgent class, so that at any wait the least urgent calls are refused first.
    /// \p classes are those of the service, the most urgent first.
    Duration maxWait(Duration target, unsigned urgencyRank,
                     std::span<const UrgencyClass> classes) const;

    /// Returns the time after which to retry if the call is to be refused: when the queue is short
    /// enough for it to start in time. \p wait is the predicted time until an engine starts with
    /// it. The call's own prompt does not count, since an idle engine would otherwise refuse a long
    /// one too.
    std::optional<Duration> decide(const LatencySlack &slack, Duration wait) const;

    /// The same for a call that engines take before others which the predicted wait includes: only
    /// the caller's time bounds it.
    std::optional<Duration> decideOvertaking(const LatencySlack &slack, Duration wait) const;

private:
    Duration maxByTimeLeft(const LatencySlack &slack) const;
};

} // namespace reachlead

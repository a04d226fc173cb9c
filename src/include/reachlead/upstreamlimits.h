// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The rate limits that upstreams name in their answers.

#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <reachlead/callrate.h>
#include <reachlead/clock.h>
#include <reachlead/fleettime.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// What an answer of an upstream said of its limit.
struct LimitUpdate
{
    UpstreamId upstream;
    std::optional<CallRate> limit; ///< none: it is over
    UnixMillis timestamp = 0; ///< when the answer came, by the fleet's time of day
};

/// The limits of all upstreams that named one lately. Not thread-safe, reads no clock.
///
/// A limit holds for the life of an upstream that named it, for all gateways together, until an
/// answer comes without it. Gateways pass on what they heard, so that those that place calls know
/// it, and those that start. The highest stamp decides. A note keeps its stamp on its way over any
/// number of gateways: were its age told instead, each of them would make it a little younger or
/// older, and among a thousand the youngest copies would keep a limit alive that is over.
class UpstreamLimits
{
public:
    /// A limit of which nothing newer is heard for this long is over, so that a gateway that missed
    /// its end does not keep it for good.
    static constexpr Duration forgetAfter = seconds(60);
    /// What is new is passed on for this long: less than forgetAfter, so that an end is still known
    /// where a late word of the limit arrives.
    static constexpr Duration tellSpan = seconds(30);
    /// Answers renew the end of a limit for this long: by then its stamp is above that of the limit
    /// also where a gateway's time of day is ahead.
    static constexpr Duration endSpan = seconds(5);

    /// An answer of the upstream named \p limit, or none; \p stamp as in LimitUpdate. True when
    /// that is a change.
    bool recordAnswer(const UpstreamId &id, std::optional<CallRate> limit, Time now,
                      UnixMillis stamp);

    /// Another gateway heard this. True when the limit in force changed by it.
    bool applyUpdate(const LimitUpdate &note, Time now);

    /// The limit in force.
    std::optional<CallRate> currentLimit(const UpstreamId &id, Time now) const;

    /// What is to be passed on, ends of limits included.
    std::vector<LimitUpdate> recent(Time now) const;

    /// No limit was heard lately.
    bool isEmpty() const { return m_heard.empty(); }

    /// Drops what was not heard for forgetAfter.
    void dropExpired(Time now);

private:
    struct Heard
    {
        std::optional<CallRate> limit; ///< none: it is over
        UnixMillis stamp = 0;
        Time at{}; ///< when this stamp was heard or told
        Time changedAt{}; ///< the same of the first stamp with this limit, or this end
    };

    void take(Heard *known, std::optional<CallRate> limit, Time now, UnixMillis stamp);

    std::unordered_map<UpstreamId, Heard> m_heard;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Rate limits that upstreams announce in their answers.

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

/// The limit that an upstream announced in an answer.
struct LimitUpdate
{
    UpstreamId upstream;
    std::optional<CallRate> limit; ///< nullopt: no longer limited
    UnixMillis timestamp = 0; ///< fleet time at which the answer arrived
};

/// The limits that upstreams announced recently. Not thread-safe, reads no clock.
///
/// A limit applies to one incarnation of an upstream and to all gateways together, until an answer
/// arrives without it. Gateways forward what they receive, so that the gateways that place calls
/// know it, and so do those that start. The highest timestamp wins. An update keeps its timestamp
/// over any number of hops. If its age were sent instead, each hop would change the age slightly,
/// and among a thousand gateways the youngest copies would keep an expired limit alive.
class UpstreamLimits
{
public:
    /// A limit without newer information for this long has expired, so that a gateway that missed
    /// its end does not keep it permanently.
    static constexpr Duration forgetAfter = seconds(60);
    /// Updates are forwarded for this long. Less than forgetAfter, so that the end of a limit is
    /// still known where a late update of the limit arrives.
    static constexpr Duration reportWindow = seconds(30);
    /// Answers renew the end of a limit for this long. By then its timestamp exceeds that of the
    /// limit, even if the clock of another gateway is ahead.
    static constexpr Duration endRenewalWindow = seconds(5);

    /// Records the limit in an answer of the upstream, or its absence; \p timestamp as in
    /// LimitUpdate. Returns true if the limit changed.
    bool recordAnswer(const UpstreamId &id, std::optional<CallRate> limit, Time now,
                      UnixMillis timestamp);

    /// Applies an update from another gateway. Returns true if the limit in force changed.
    bool applyUpdate(const LimitUpdate &update, Time now);

    /// The limit in force.
    std::optional<CallRate> currentLimit(const UpstreamId &id, Time now) const;

    /// Updates to forward, ends of limits included.
    std::vector<LimitUpdate> recent(Time now) const;

    /// True if no limit is recorded.
    bool isEmpty() const { return m_entries.empty(); }

    /// Removes entries that were not renewed for forgetAfter.
    void dropExpired(Time now);

private:
    struct Entry
    {
        std::optional<CallRate> limit; ///< nullopt: no longer limited
        UnixMillis timestamp = 0;
        Time receivedAt{}; ///< when this timestamp was received
        /// when the first timestamp with this limit, or with its end, was received
        Time changedAt{};
    };

    void assign(Entry *entry, std::optional<CallRate> limit, Time now, UnixMillis timestamp);

    std::unordered_map<UpstreamId, Entry> m_entries;
};

} // namespace reachlead

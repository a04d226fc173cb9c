// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of UpstreamTable that keeps rates which apply to all gateways together.

#include <reachlead/placement/upstreamtable.h>

#include <algorithm>

namespace reachlead {

namespace {

/// Share of a cold upstream's rate for the gateway that places calls for the whole fleet. With two
/// gateways in that role and all others selecting on their own, any second stays below twice the
/// rate.
constexpr double schedulerShare = 0.8;

/// An upstream that announces a lower limit still gets a call every ten seconds, because only an
/// answer shows that its limit has ended.
constexpr CallRate minLimit{100};

/// Calls arrive unevenly, so a gateway keeps or borrows more of a limit than their mean rate needs.
constexpr double limitHeadroom = 1.5;

/// Few gateways can have borrowed this much of a limit at the same time, so they need no time slots
/// that keep them from sending all at once.
constexpr LimitShare concentratedShare{LimitShare::whole / 4};

} // namespace

/// The selector's share of a rate that all gateways share. If one gateway \p hasMost of it, those
/// that select on their own share the rest; otherwise all have equal shares.
double UpstreamTable::rateShare(const SelectionQuery &query, const UpstreamId &id,
                                bool hasMost) const
{
    if (hasMost && isInGroup(query, id))
        return schedulerShare;
    const double equal = 1.0 / static_cast<double>(m_gateways);
    return query.group == nullptr ? equal : equal * (1.0 - schedulerShare);
}

/// Spreads the start times of the gateways over a spacing.
Duration UpstreamTable::gatewayPhase(const UpstreamId &id, Duration spacing) const
{
    constexpr std::uint64_t parts = 256;
    const std::uint64_t part = (std::hash<UpstreamId>{}(id) ^ m_gatewayNumber) % parts;
    return fromSeconds(toSeconds(spacing) * static_cast<double>(part) / static_cast<double>(parts));
}

/// Interval between two calls of the selector to a cold upstream.
Duration UpstreamTable::coldSpacing(const SelectionQuery &query, const UpstreamId &id) const
{
    if (query.serviceInfo == nullptr || query.serviceInfo->coldCallsPerSecond <= 0)
        return {};
    return fromSeconds(
        1.0
        / (rateShare(query, id, query.isGroupScheduler) * query.serviceInfo->coldCallsPerSecond));
}

/// True for a cold upstream that has had its share of calls.
bool UpstreamTable::isColdLimited(const SelectionQuery &query, const UpstreamEntry &entry,
                                  Record *record, Time now) const
{
    const Duration spacing = coldSpacing(query, entry.id);
    if (spacing == Duration{})
        return false;
    const Duration phase = query.isGroupScheduler ? Duration{} : gatewayPhase(entry.id, spacing);
    record->cold.update(entry.revision, milliseconds(entry.coldLeftMs), phase, now);
    return !record->cold.allows(now);
}

/// True if the upstream announced a limit and the selector has used its share of it.
bool UpstreamTable::isRateLimited(const SelectionQuery &query, const UpstreamId &id, Record *record,
                                  Time now) const
{
    const std::optional<CallRate> limit = m_limits.currentLimit(id, now);
    if (!limit)
        return false;
    const double rate = std::max(*limit, minLimit).perSecond();
    if (query.ownsLimits && isInGroup(query, id))
        return !record->limit.allowsNext(fromSeconds(1.0 / (schedulerShare * rate)), now);
    record->limit.shareUsed(now);
    const bool isAllowed = allowsByShare(query, id, record->limit, rate, now);
    if (!isAllowed)
        record->limit.blocked(now);
    return !isAllowed;
}

/// True if this gateway's own and borrowed shares of a rate, in calls/s, allow a call now.
bool UpstreamTable::allowsByShare(const SelectionQuery &query, const UpstreamId &id,
                                  const UpstreamRateLimiter &limiter, double rate, Time now) const
{
    const LimitShare share = m_limitShares.usable(id, now);
    const double pool = query.group == nullptr ? 1.0 : 1.0 - schedulerShare;
    if (share.millionths == 0)
        return false;
    const Duration spacing = fromSeconds(1.0 / (share.fraction() * pool * rate));
    const bool isConcentrated = m_gateways == 1
        || (share >= concentratedShare && m_limitShares.borrowed(id, now) > LimitShare());
    return isConcentrated ? limiter.allowsNext(spacing, now)
                          : limiter.allowsInSlot(spacing, gatewayPhase(id, spacing), now);
}

LimitShare UpstreamTable::neededShare(const UpstreamId &id, CallRate limit, Time now) const
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return {};
    const CallRate known = std::max(m_limits.currentLimit(id, now).value_or(limit), minLimit);
    return LimitShare::ofRate(limitHeadroom * it->second.limit.wantedPerSecond(now), known);
}

std::vector<LimitNeed> UpstreamTable::limitNeeds(Time now) const
{
    std::vector<LimitNeed> needs;
    for (const LimitUpdate &update : m_limits.recent(now)) {
        const auto it = m_records.find(update.upstream);
        if (update.limit && it != m_records.end() && it->second.limit.usesShare(now))
            needs.push_back(
                {update.upstream, neededShare(update.upstream, *update.limit, now), *update.limit});
    }
    return needs;
}

bool UpstreamTable::isBlockedByLimit(const SelectionQuery &query,
                                     const UpstreamDirectory &directory, Time now) const
{
    if (m_limits.isEmpty())
        return false;
    return std::ranges::any_of(
        directory.usableUpstreams(query.service), [&](const UpstreamEntry *entry) {
            return isEligible(query, *entry) && m_limits.currentLimit(entry->id, now);
        });
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/scheduling/callqueue.h>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace reachlead {

namespace {

/// Told to a refused caller if nothing is known about the pace.
constexpr Duration defaultRetryAfter = milliseconds(500);
constexpr Duration minRetryAfter = milliseconds(50); ///< a few round trips

} // namespace

void CallQueue::add(WaitingCall call, Time now)
{
    call.hasKeptPlace = call.hasKeptPlace || m_places.take(call.requestKey, now);
    m_lastBegun.try_emplace(call.urgencyRank, now);
    const WaitingCallId id = call.id;
    m_calls.insert_or_assign(id, std::move(call));
}

const WaitingCall *CallQueue::find(const WaitingCallId &id) const
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

/// True if the rank has waited for the interval of its floor.
bool CallQueue::isOwed(unsigned urgencyRank, Time now) const
{
    const auto it = m_lastBegun.find(urgencyRank);
    return it != m_lastBegun.end() && it->second + floorInterval <= now;
}

bool CallQueue::goesBefore(const WaitingCall &a, const WaitingCall &b, Time now) const
{
    if (a.urgencyRank != b.urgencyRank) {
        const bool isOwedA = isOwed(a.urgencyRank, now);
        const bool isOwedB = isOwed(b.urgencyRank, now);
        return isOwedA == isOwedB ? a.urgencyRank < b.urgencyRank : isOwedA;
    }
    if (a.hasKeptPlace != b.hasKeptPlace)
        return a.hasKeptPlace;
    const double levelA = m_shares.level(a.account, now);
    const double levelB = m_shares.level(b.account, now);
    return std::tie(levelA, a.latestStart, a.id) < std::tie(levelB, b.latestStart, b.id);
}

/// The first in order of the calls that have not found in this pass that there is no room.
CallQueue::Calls::iterator CallQueue::next(const Refused &refused, Time now)
{
    auto best = m_calls.end();
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        const auto tried = refused.find(it->second.eligibility);
        if (tried != refused.end() && it->second.size >= tried->second)
            continue;
        if (best == m_calls.end() || goesBefore(it->second, best->second, now))
            best = it;
    }
    return best;
}

CallQueue::Calls::iterator CallQueue::last(unsigned urgencyRank, Time now)
{
    auto worst = m_calls.end();
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (it->second.urgencyRank != urgencyRank)
            continue;
        if (worst == m_calls.end() || goesBefore(worst->second, it->second, now))
            worst = it;
    }
    return worst;
}

void CallQueue::begun(const WaitingCall &call, Time now)
{
    m_lastBegun[call.urgencyRank] = now;
    m_shares.served(call.account, call.units, now);
    m_begun.add(call.urgencyRank, call.units, now);
}

std::vector<WaitingCall> CallQueue::dispatch(Time now, const OfferFunction &offer)
{
    std::vector<WaitingCall> started;
    Refused refused;
    for (auto it = next(refused, now); it != m_calls.end(); it = next(refused, now)) {
        const Offer result = offer(it->second);
        if (result == Offer::NoRoom) {
            refused[it->second.eligibility] = it->second.size;
            if (refused.size() == maxRefusedOffers)
                break;
            continue;
        }
        begun(it->second, now);
        started.push_back(std::move(it->second));
        m_calls.erase(it);
        if (result == Offer::BegunLast)
            break;
    }
    return started;
}

/// The work that begins before a call: that of more urgent ranks, and in its own rank that of calls
/// that came back as told and of accounts until each has been served as much as its own.
double CallQueue::unitsBefore(const WaitingCall &call, Time now) const
{
    double units = 0;
    std::map<AccountName, double> waiting; ///< by account, new calls of the rank
    for (const WaitingCall &other : m_calls | std::views::values) {
        if (other.id == call.id || other.urgencyRank > call.urgencyRank)
            continue;
        const bool isSameOrder =
            other.urgencyRank == call.urgencyRank && other.hasKeptPlace == call.hasKeptPlace;
        if (isSameOrder && (other.account != call.account || other.latestStart <= call.latestStart))
            waiting[other.account] += other.units;
        else if (!isSameOrder && goesBefore(other, call, now))
            units += other.units;
    }
    const double own = waiting[call.account];
    const double reached = m_shares.level(call.account, now) + own;
    for (const auto &[account, theirs] : waiting) {
        if (account != call.account)
            units += std::clamp(reached - m_shares.level(account, now), 0.0, theirs);
    }
    return units + own;
}

std::optional<Duration> CallQueue::predictWait(const WaitingCall &call, Time now) const
{
    const std::optional<double> rate = m_begun.rate(call.urgencyRank, now);
    if (!rate)
        return std::nullopt;
    const double waiting = unitsBefore(call, now);
    if (call.hasKeptPlace)
        return fromSeconds(waiting / *rate);
    const Time until = now + fromSeconds(waiting / *rate);
    return fromSeconds((waiting + m_places.unitsBefore(call.urgencyRank, until)) / *rate);
}

std::optional<QueueRefusal> CallQueue::refuseIfLate(const WaitingCallId &id, Duration minWait,
                                                    Time now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.hasKeptPlace)
        return std::nullopt;
    if (isOwed(it->second.urgencyRank, now))
        return std::nullopt;
    const Duration wait = std::max(predictWait(it->second, now).value_or(Duration{}), minWait);
    if (now + wait <= it->second.latestStart)
        return std::nullopt;
    const WaitingCall call = it->second;
    m_calls.erase(it);
    return refusal(call, ErrorKind::PredictedLate, wait, now);
}

QueueRefusal CallQueue::refusal(const WaitingCall &call, ErrorKind kind, Duration wait, Time now)
{
    QueueRefusal result{call, kind, std::max<Duration>(wait, minRetryAfter), false};
    const double rate = m_begun.rate(call.urgencyRank, now).value_or(0);
    const auto at = m_places.promise(
        {call.requestKey, call.urgencyRank, call.units, now + wait, call.latestReturn, rate}, now);
    if (!at)
        return result;
    result.hasKeptPlace = true;
    result.retryAfter = std::max<Duration>(*at - now, minRetryAfter);
    return result;
}

std::vector<QueueRefusal> CallQueue::refuseOverdue(Time now)
{
    m_places.dropLapsed(now);
    std::vector<WaitingCall> overdue;
    std::map<unsigned, Usage> usage;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        if (it->second.latestStart <= now) {
            overdue.push_back(std::move(it->second));
            it = m_calls.erase(it);
            continue;
        }
        Usage &rank = usage[it->second.urgencyRank];
        ++rank.calls;
        rank.bytes += it->second.bytes;
        ++it;
    }
    std::vector<QueueRefusal> refusals;
    const auto refuse = [&](const WaitingCall &call, ErrorKind kind) {
        const Duration wait = predictWait(call, now).value_or(defaultRetryAfter);
        refusals.push_back(refusal(call, kind, wait, now));
    };
    for (const WaitingCall &call : overdue)
        refuse(call, ErrorKind::QueueWaitExpired);
    for (auto &[rank, used] : usage) {
        while (used.calls > m_bounds.calls || used.bytes > m_bounds.bytes) {
            const auto it = last(rank, now);
            const WaitingCall call = std::move(it->second);
            m_calls.erase(it);
            --used.calls;
            used.bytes -= call.bytes;
            refuse(call, ErrorKind::QueueFull);
        }
    }
    return refusals;
}

std::vector<WaitingCall> CallQueue::takeAll()
{
    std::vector<WaitingCall> all;
    for (WaitingCall &call : m_calls | std::views::values)
        all.push_back(std::move(call));
    m_calls.clear();
    return all;
}

} // namespace reachlead

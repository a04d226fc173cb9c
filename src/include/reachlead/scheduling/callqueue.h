// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The calls that wait at the scheduler of a placement group.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/error.h>
#include <reachlead/ids.h>
#include <reachlead/placement/earlyrefusal.h>
#include <reachlead/scheduling/accountshares.h>
#include <reachlead/scheduling/begunwork.h>
#include <reachlead/scheduling/keptplaces.h>

namespace reachlead {

/// Identifies a waiting call by its gateway and the number of that gateway's query.
struct WaitingCallId
{
    VmName gateway;
    std::uint32_t query = 0;

    auto operator<=>(const WaitingCallId &) const = default;
};

/// A call that waits for an upstream.
struct WaitingCall
{
    WaitingCallId id;
    unsigned urgencyRank = 0; ///< 0 is the most urgent
    AccountName account; ///< empty: none
    double units = 1; ///< work, as in AccountShares
    std::uint64_t size = 0; ///< an upstream with room for this size has room for smaller ones
    std::size_t bytes = 0; ///< held at the gateway while the call waits
    std::uint64_t requestKey = 0; ///< as in SelectionQuery; 0: not known
    std::uint64_t eligibility = 0; ///< calls with the same value have the same best upstream
    Time arrivedAt;
    Time latestStart; ///< when it is refused if it has not begun
    /// When its answer must have begun at the latest to be of use; no place is kept beyond it.
    Time latestReturn;
    bool hasKeptPlace = false; ///< set by the queue: it came back as told
};

/// A call that has to be refused. It has not run.
struct QueueRefusal
{
    WaitingCall call;
    ErrorKind kind = ErrorKind::PredictedLate;
    Duration retryAfter{};
    bool hasKeptPlace = false; ///< a place is kept for its return after that time
};

/// Orders and bounds the calls that no upstream of a group can begin with at present. Pure: does no
/// input or output and reads no clock. Not thread-safe.
///
/// Load pattern: calls arrive in waves at upstreams of uneven speed. Sent at once, they queue at
/// upstreams where nothing can be reordered, while others become free; judged one by one at their
/// arrival, a refusal of an urgent call says nothing to the calls that take its place. Here they
/// wait in one order: urgency, with a floor for each rank; then calls that came back as told; then
/// the account served least; then the earliest latest start.
class CallQueue
{
public:
    struct Bounds
    {
        std::size_t calls = 256; ///< that wait, for each urgency rank
        std::size_t bytes = 16'000'000; ///< held by gateways for them, for each urgency rank
    };

    /// An urgency rank that waits has a call begin at least this often, so that it does not starve
    /// while more urgent calls fill the upstreams.
    static constexpr Duration floorInterval = seconds(1);

    /// Calls that found no room in a pass, after which it ends: each offer examines all upstreams
    /// of the group, and the first ones in order will be the next to begin.
    static constexpr std::size_t maxRefusedOffers = 48;

    /// What happened to a call that was offered to the upstreams.
    enum class Offer : std::uint8_t {
        Begun,
        NoRoom,
        BegunLast ///< begun; nothing else may be offered before its load is known
    };
    using OfferFunction = std::function<Offer(const WaitingCall &)>;

    explicit CallQueue(const Bounds &bounds) : m_bounds(bounds), m_places(bounds.calls) { }

    /// Adds a call, and finds the place that is kept for it.
    void add(WaitingCall call, Time now);

    /// Offers calls in order until no upstream has room for any of them. Returns those that begin.
    std::vector<WaitingCall> dispatch(Time now, const OfferFunction &offer);

    /// Removes and returns calls that must be refused: those that cannot start in time any more,
    /// and the last in order of a rank that exceeds its bounds.
    std::vector<QueueRefusal> refuseOverdue(Time now);

    /// Removes and returns a newly added call if the work before it lets it start too late.
    /// \p minWait is the shortest wait that the load of the upstreams already shows.
    std::optional<QueueRefusal> refuseIfLate(const WaitingCallId &id, Duration minWait, Time now);

    /// Removes a call whose caller or gateway is gone. False if it does not wait.
    bool withdraw(const WaitingCallId &id) { return m_calls.erase(id) > 0; }

    /// Removes and returns all calls, as another gateway is to place them.
    std::vector<WaitingCall> takeAll();

    /// Expected time until a call begins, from the work that goes before it. None if nothing has
    /// begun lately, so that nothing is known about the pace.
    std::optional<Duration> predictWait(const WaitingCall &call, Time now) const;

    const WaitingCall *find(const WaitingCallId &id) const;
    std::size_t size() const { return m_calls.size(); }
    std::size_t keptPlaces() const { return m_places.size(); }
    bool isEmpty() const { return m_calls.empty(); }
    const AccountShares &shares() const { return m_shares; }

private:
    /// Of the calls that found no room in a pass, the smallest for each eligibility.
    using Refused = std::map<std::uint64_t, std::uint64_t>;
    using Calls = std::map<WaitingCallId, WaitingCall>;

    struct Usage
    {
        std::size_t calls = 0;
        std::size_t bytes = 0;
    };

    bool goesBefore(const WaitingCall &a, const WaitingCall &b, Time now) const;
    bool isOwed(unsigned urgencyRank, Time now) const;
    double unitsBefore(const WaitingCall &call, Time now) const;
    Calls::iterator next(const Refused &refused, Time now);
    Calls::iterator last(unsigned urgencyRank, Time now);
    QueueRefusal refusal(const WaitingCall &call, ErrorKind kind, Duration wait, Time now);
    void begun(const WaitingCall &call, Time now);

    Bounds m_bounds;
    Calls m_calls;
    std::map<unsigned, Time> m_lastBegun; ///< by urgency rank
    AccountShares m_shares;
    BegunWork m_begun;
    KeptPlaces m_places;
};

} // namespace reachlead

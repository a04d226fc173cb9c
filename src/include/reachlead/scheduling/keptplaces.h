// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Places kept for refused callers that were told when to return.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include <reachlead/clock.h>

namespace reachlead {

/// Promises of a time at which a refused call goes before new ones of its urgency. Not thread-safe,
/// reads no clock.
///
/// Load pattern: a wave refuses calls, all of which return within a second and are refused again
/// behind the next arrivals. A caller that is told when it will have a place, and gets it, comes
/// back once; the places are spaced by the pace of the upstreams, so that they can be held.
class KeptPlaces
{
public:
    /// Share of the pace that may be promised; the rest is for calls that arrive for the first
    /// time, most of which would otherwise be refused for the sake of those refused before.
    static constexpr double maxShare = 0.25;
    /// How early a caller may return for its place: clocks of callers are not exact.
    static constexpr Duration earliness = milliseconds(50);
    /// How long a place is kept after its time: a few round trips and a new connection.
    static constexpr Duration lifetime = milliseconds(500);

    /// \p maxPlaces bounds the promises that are open.
    explicit KeptPlaces(std::size_t maxPlaces) : m_maxPlaces(maxPlaces) { }

    /// What is promised to one call.
    struct Request
    {
        std::uint64_t key = 0; ///< 0: not known, nothing is promised
        unsigned urgencyRank = 0;
        double units = 0;
        Time earliest; ///< when the work that waits now has begun
        Time latest; ///< nothing is promised beyond
        double rate = 0; ///< units per second that its urgency may use
    };

    /// Returns the time of the place that is kept, or none if none can be. A call that returned too
    /// early still has its place.
    std::optional<Time> promise(const Request &request, Time now);

    /// Takes the place of a call that returned in time. False if it has none.
    bool take(std::uint64_t key, Time now);

    /// Units of places due before \p until for callers of at most this rank that did not return
    /// yet.
    double unitsBefore(unsigned urgencyRank, Time until) const;

    /// Removes places whose time has passed.
    void dropLapsed(Time now);

    std::size_t size() const { return m_places.size(); }

private:
    struct Place
    {
        unsigned urgencyRank = 0;
        double units = 0;
        Time at;
    };

    std::size_t m_maxPlaces;
    std::unordered_map<std::uint64_t, Place> m_places;
    std::map<unsigned, Time> m_nextFree; ///< by urgency rank
};

} // namespace reachlead

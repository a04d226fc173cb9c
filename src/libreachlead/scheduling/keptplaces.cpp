// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/scheduling/keptplaces.h>

#include <algorithm>
#include <numeric>

namespace reachlead {

std::optional<Time> KeptPlaces::promise(const Request &request, Time now)
{
    dropLapsed(now);
    if (const auto it = m_places.find(request.key); it != m_places.end())
        return it->second.at;
    if (request.key == 0 || request.rate <= 0 || m_places.size() >= m_maxPlaces)
        return std::nullopt;
    Time &nextFree = m_nextFree[request.urgencyRank];
    const Time at = std::max({nextFree, request.earliest, now + 2 * earliness});
    if (at > request.latest)
        return std::nullopt;
    nextFree = at + fromSeconds(request.units / (request.rate * maxShare));
    m_places.emplace(request.key, Place{request.urgencyRank, request.units, at});
    return at;
}

bool KeptPlaces::take(std::uint64_t key, Time now)
{
    const auto it = m_places.find(key);
    if (key == 0 || it == m_places.end())
        return false;
    const Time at = it->second.at;
    if (now < at - earliness || now > at + lifetime)
        return false;
    m_places.erase(it);
    return true;
}

double KeptPlaces::unitsBefore(unsigned urgencyRank, Time until) const
{
    return std::accumulate(m_places.begin(), m_places.end(), 0.0, [&](double sum, const auto &it) {
        const Place &place = it.second;
        const bool counts = place.urgencyRank <= urgencyRank && place.at < until;
        return sum + (counts ? place.units : 0);
    });
}

void KeptPlaces::dropLapsed(Time now)
{
    std::erase_if(m_places, [&](const auto &it) { return it.second.at + lifetime < now; });
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/dedicatedengines.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace reachlead {

namespace {

/// Sets the rank for quiet engines apart from the one for homes.
constexpr std::uint64_t quietSalt = 0x71756965; // "quie"

std::uint64_t quietHash(const UpstreamId &id)
{
    return XXH64(id.text.data(), id.text.size(), quietSalt);
}

} // namespace

void DedicatedEngines::setDemand(const std::map<ServiceName, Demand> &demand, Time now)
{
    m_lookedAt = now;
    for (auto &[name, service] : m_services) {
        const auto it = demand.find(name);
        service.demand = it == demand.end() ? Demand{} : it->second;
    }
}

bool DedicatedEngines::isQuiet(const ServiceName &service, const UpstreamId &id) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.quiet.contains(id);
}

/// All engines in the order in which they become quiet: by a hash over their ids within a zone,
/// zone by zone in turn.
std::vector<DedicatedEngines::Ranked> DedicatedEngines::rank(const ServiceName &service,
                                                             const UpstreamDirectory &directory)
{
    std::map<ZoneName, std::vector<const UpstreamEntry *>> byZone;
    for (const UpstreamEntry *entry : directory.usableUpstreams(service))
        byZone[entry->zone].push_back(entry);
    std::vector<std::tuple<std::size_t, std::uint64_t, const UpstreamEntry *>> order;
    for (std::vector<const UpstreamEntry *> &engines : byZone | std::views::values) {
        std::ranges::sort(engines, {}, [](const auto *it) { return quietHash(it->id); });
        for (std::size_t n = 0; n < engines.size(); ++n)
            order.emplace_back(n, quietHash(engines[n]->id), engines[n]);
    }
    std::ranges::sort(order);
    std::vector<Ranked> ranked;
    ranked.reserve(order.size());
    for (const auto &[round, hash, entry] : order)
        ranked.push_back({entry->id, entry->slots});
    return ranked;
}

/// Engines whose planned places hold the streams that run; where both kinds together need more than
/// there are, each gets its part.
std::size_t DedicatedEngines::wanted(const Service &service) const
{
    const auto all = static_cast<double>(service.ranked.size());
    const double slots =
        std::transform_reduce(service.ranked.begin(), service.ranked.end(), 0.0, std::plus(),
                              [](const Ranked &it) { return static_cast<double>(it.slots); });
    if (slots <= 0)
        return 0;
    const double forBrief = service.demand.brief / (m_settings.targetUtilization * slots / all);
    const double forLong = service.demand.backlog / m_settings.backlogPerEngineMs;
    const double both = forBrief + forLong;
    const double quiet = both > all ? all * forBrief / both : std::ceil(forBrief);
    const double least = std::round(m_settings.minShare * all);
    return static_cast<std::size_t>(std::round(std::clamp(quiet, least, all - least)));
}

void DedicatedEngines::resize(Service *service, std::size_t size)
{
    service->quiet.clear();
    for (const Ranked &engine : service->ranked | std::views::take(size))
        service->quiet.insert(engine.id);
}

const std::set<UpstreamId> &DedicatedEngines::of(const ServiceName &service,
                                                 const UpstreamDirectory &directory, Time now)
{
    if (std::exchange(m_rankedAt, directory.changeCount()) != directory.changeCount()) {
        for (Service &it : m_services | std::views::values)
            it.ranked.clear();
    }
    Service &known = m_services[service];
    if (known.ranked.empty()) {
        known.ranked = rank(service, directory);
        known.neededAt = now;
        resize(&known, std::max(wanted(known), known.quiet.size()));
        return known.quiet;
    }
    const std::size_t size = wanted(known);
    if (size >= known.quiet.size())
        known.neededAt = now;
    if (size > known.quiet.size() || known.neededAt + shrinkPause <= now)
        resize(&known, size);
    return known.quiet;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/dedicatedengines.h>

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

/// Makes this order independent of the hashes for preferred upstreams.
constexpr std::uint64_t orderSalt = 0x71756965; // "quie"

std::uint64_t orderHash(const UpstreamId &id)
{
    return XXH64(id.text.data(), id.text.size(), orderSalt);
}

} // namespace

void DedicatedEngines::setDemand(const std::map<ServiceName, Demand> &demand, Time now)
{
    m_demandUpdatedAt = now;
    for (auto &[name, service] : m_services) {
        const auto it = demand.find(name);
        service.demand = it == demand.end() ? Demand{} : it->second;
    }
}

bool DedicatedEngines::isDedicated(const ServiceName &service, const UpstreamId &id) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.dedicated.contains(id);
}

/// All engines in the order in which they are dedicated: by a hash of their ids within a zone, and
/// round-robin over the zones.
std::vector<DedicatedEngines::Engine> DedicatedEngines::order(const ServiceName &service,
                                                              const UpstreamDirectory &directory)
{
    std::map<ZoneName, std::vector<const UpstreamEntry *>> byZone;
    for (const UpstreamEntry *entry : directory.usableUpstreams(service))
        byZone[entry->zone].push_back(entry);
    std::vector<std::tuple<std::size_t, std::uint64_t, const UpstreamEntry *>> order;
    for (std::vector<const UpstreamEntry *> &inZone : byZone | std::views::values) {
        std::ranges::sort(inZone, {}, [](const auto *it) { return orderHash(it->id); });
        for (std::size_t n = 0; n < inZone.size(); ++n)
            order.emplace_back(n, orderHash(inZone[n]->id), inZone[n]);
    }
    std::ranges::sort(order);
    std::vector<Engine> engines;
    engines.reserve(order.size());
    for (const auto &[round, hash, entry] : order)
        engines.push_back({entry->id, entry->slots});
    return engines;
}

/// Number of engines whose planned slots hold the running streams; if both kinds together need more
/// engines than there are, each gets its proportional share.
std::size_t DedicatedEngines::targetCount(const Service &service) const
{
    const auto all = static_cast<double>(service.engines.size());
    const double slots =
        std::transform_reduce(service.engines.begin(), service.engines.end(), 0.0, std::plus(),
                              [](const Engine &it) { return static_cast<double>(it.slots); });
    if (slots <= 0)
        return 0;
    const double enginesForShort =
        service.demand.shortStreams / (m_settings.targetUtilization * slots / all);
    const double enginesForLong = service.demand.prefillBacklogMs / m_settings.backlogPerEngineMs;
    const double both = enginesForShort + enginesForLong;
    const double dedicated = both > all ? all * enginesForShort / both : std::ceil(enginesForShort);
    const double minCount = std::round(m_settings.minShare * all);
    return static_cast<std::size_t>(std::round(std::clamp(dedicated, minCount, all - minCount)));
}

void DedicatedEngines::resize(Service *service, std::size_t count)
{
    service->dedicated.clear();
    for (const Engine &engine : service->engines | std::views::take(count))
        service->dedicated.insert(engine.id);
}

const std::set<UpstreamId> &DedicatedEngines::engines(const ServiceName &service,
                                                      const UpstreamDirectory &directory, Time now)
{
    if (std::exchange(m_directoryChanges, directory.changeCount()) != directory.changeCount()) {
        for (Service &it : m_services | std::views::values)
            it.engines.clear();
    }
    Service &known = m_services[service];
    if (known.engines.empty()) {
        known.engines = order(service, directory);
        known.lastNeeded = now;
        resize(&known, std::max(targetCount(known), known.dedicated.size()));
        return known.dedicated;
    }
    const std::size_t count = targetCount(known);
    if (count >= known.dedicated.size())
        known.lastNeeded = now;
    if (count > known.dedicated.size() || known.lastNeeded + shrinkDelay <= now)
        resize(&known, count);
    return known.dedicated;
}

} // namespace reachlead

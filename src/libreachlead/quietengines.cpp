// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/quietengines.h>

#include <algorithm>
#include <cmath>
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

void QuietEngines::setDemand(const std::map<ServiceName, double> &running, Time now)
{
    m_lookedAt = now;
    for (auto &[name, service] : m_services) {
        const auto it = running.find(name);
        service.running = it == running.end() ? 0 : it->second;
    }
}

/// All engines in the order in which they become quiet: by a hash over their ids within a zone,
/// zone by zone in turn.
std::vector<QuietEngines::Ranked> QuietEngines::rank(const ServiceName &service,
                                                     const UpstreamDirectory &directory)
{
    std::map<ZoneName, std::vector<const UpstreamEntry *>> byZone;
    for (const UpstreamEntry *entry : directory.usableOf(service))
        byZone[entry->zone].push_back(entry);
    std::vector<std::tuple<std::size_t, std::uint64_t, const UpstreamEntry *>> order;
    for (std::vector<const UpstreamEntry *> &engines : byZone | std::views::values) {
        std::ranges::sort(engines, {}, [](const auto *it) { return quietHash(it->id); });
        for (std::size_t n = 0; n < engines.size(); ++n)
            order.emplace_back(n, quietHash(engines[n]->id), engines[n]);
    }
    std::ranges::sort(order);
    std::vector<Ranked> ranked;
    for (const auto &[round, hash, entry] : order)
        ranked.push_back({entry->id, entry->slots});
    return ranked;
}

/// Engines whose planned places hold the streams that run, within the bounds of the settings.
std::size_t QuietEngines::wanted(const Service &service) const
{
    const auto all = static_cast<double>(service.ranked.size());
    const auto least = static_cast<std::size_t>(std::lround(m_settings.leastPart * all));
    const auto most = static_cast<std::size_t>(std::lround(m_settings.mostPart * all));
    double places = 0;
    std::size_t needed = 0;
    while (needed < most && places < service.running)
        places += m_settings.fill * service.ranked[needed++].slots;
    return std::max(needed, least);
}

void QuietEngines::resize(Service *service, std::size_t size, Time now) const
{
    service->changedAt = now;
    service->quiet.clear();
    for (const Ranked &engine : service->ranked | std::views::take(size))
        service->quiet.insert(engine.id);
}

const std::set<UpstreamId> &QuietEngines::of(const ServiceName &service,
                                             const UpstreamDirectory &directory, Time now)
{
    if (std::exchange(m_rankedAt, directory.changes()) != directory.changes()) {
        for (Service &it : m_services | std::views::values)
            it.ranked.clear();
    }
    Service &known = m_services[service];
    if (known.ranked.empty()) {
        known.ranked = rank(service, directory);
        resize(&known, std::max(wanted(known), known.quiet.size()), now);
        return known.quiet;
    }
    const std::size_t size = wanted(known);
    if (size > known.quiet.size())
        resize(&known, size, now);
    else if (size < known.quiet.size() && known.changedAt + shrinkPause <= now)
        resize(&known, known.quiet.size() - 1, now);
    return known.quiet;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/routing.h>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace reachlead {

namespace {

std::string lowerHost(std::string_view host)
{
    const std::string_view withoutPort = host.substr(0, host.find(':'));
    std::string lower(withoutPort);
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

void addUrgency(std::vector<UrgencyClass> *classes, const Route &route)
{
    auto it = std::ranges::lower_bound(*classes, route.priority, {}, &UrgencyClass::rank);
    if (it == classes->end() || it->rank != route.priority)
        it = classes->insert(it, {route.priority, {}});
    it->target = std::max<Duration>(it->target, milliseconds(route.targetLatencyMs));
}

} // namespace

RouteTable::RouteTable(RoutingConfig config) : m_config(std::move(config))
{
    for (const Route &route : m_config.routes)
        m_byHost[lowerHost(route.host)].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::ranges::sort(routes, std::ranges::greater(),
                          [](const Route *route) { return route->pathPrefix.size(); });
    }
    unsigned lowest = 0;
    for (const Route &route : m_config.routes) {
        lowest = std::max(lowest, route.priority);
        for (const ServiceShare &share : route.services)
            addUrgency(&m_urgencyClasses[share.service], route);
    }
    m_ranksPerPriority = std::max(1U, (lowestUrgency + 1) / (lowest + 1));
    for (const AccountKeys &account : m_config.accounts) {
        for (const std::string &key : account.keys)
            m_byKey.emplace(key, &account);
    }
}

std::span<const UrgencyClass> RouteTable::urgencyClasses(const ServiceName &service) const
{
    const auto it = m_urgencyClasses.find(service);
    if (it == m_urgencyClasses.end())
        return {};
    return it->second;
}

unsigned RouteTable::urgencyRank(const Route &route, const AccountKeys *account) const
{
    const bool hasOwn = account != nullptr && account->priority.has_value();
    const unsigned within = std::min(hasOwn ? *account->priority : 0U, m_ranksPerPriority - 1);
    return std::min(lowestUrgency, route.priority * m_ranksPerPriority + within);
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(lowerHost(host));
    if (it == m_byHost.end())
        return nullptr;
    const auto route = std::ranges::find_if(it->second, [&](const Route *candidate) {
        return path.starts_with(candidate->pathPrefix);
    });
    return route == it->second.end() ? nullptr : *route;
}

const AccountKeys *RouteTable::accountForKey(const std::string &key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

const ServiceInfo *RouteTable::service(const ServiceName &name) const
{
    const auto it = std::ranges::find(m_config.services, name, &ServiceInfo::name);
    return it == m_config.services.end() ? nullptr : &*it;
}

const ServiceName *pickService(const Route &route, double draw)
{
    const double total = std::transform_reduce(
        route.services.begin(), route.services.end(), 0.0, std::plus(),
        [](const ServiceShare &share) { return std::max(share.weight, 0.0); });
    double left = draw * total;
    for (const ServiceShare &share : route.services) {
        left -= std::max(share.weight, 0.0);
        if (left < 0.0)
            return &share.service;
    }
    return route.services.empty() ? nullptr : &route.services.back().service;
}

} // namespace reachlead

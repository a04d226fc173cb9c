// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/routingdelta.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace reachlead {

namespace {

template <class Item> using Index = std::map<decltype(Item::name), const Item *>;

template <class Item> Index<Item> indexByName(const std::vector<Item> &items)
{
    Index<Item> index;
    for (const Item &item : items)
        index.emplace(item.name, &item);
    return index;
}

/// Collects new and changed items and the names of removed ones; false if names are not unique.
template <class Item>
bool compare(const std::vector<Item> &from, const std::vector<Item> &to, std::vector<Item> *changed,
             std::vector<decltype(Item::name)> *removed)
{
    const Index<Item> before = indexByName(from);
    const Index<Item> after = indexByName(to);
    if (before.size() != from.size() || after.size() != to.size())
        return false;
    std::ranges::copy_if(to, std::back_inserter(*changed), [&](const Item &item) {
        const auto it = before.find(item.name);
        return it == before.end() || !(*it->second == item);
    });
    for (const Item &item : from) {
        if (!after.contains(item.name))
            removed->push_back(item.name);
    }
    return true;
}

template <class Item>
std::vector<Item> merged(const std::vector<Item> &base, const std::vector<Item> &changed,
                         const std::vector<decltype(Item::name)> &removed)
{
    const Index<Item> changedByName = indexByName(changed);
    std::vector<Item> all;
    std::ranges::copy_if(base, std::back_inserter(all), [&](const Item &item) {
        return !changedByName.contains(item.name)
            && std::ranges::find(removed, item.name) == removed.end();
    });
    std::ranges::copy(changed, std::back_inserter(all));
    return all;
}

} // namespace

std::optional<RoutingDelta> computeDelta(const RoutingConfig &from, const RoutingConfig &to)
{
    RoutingDelta delta;
    delta.baseVersion = from.version;
    delta.version = to.version;
    delta.limits = to.limits;
    const bool namesAreUnique = compare(from.routes, to.routes, &delta.routes, &delta.removedRoutes)
        && compare(from.services, to.services, &delta.services, &delta.removedServices)
        && compare(from.accounts, to.accounts, &delta.accounts, &delta.removedAccounts);
    return namesAreUnique ? std::optional(std::move(delta)) : std::nullopt;
}

std::optional<RoutingConfig> applyDelta(const RoutingConfig &base, const RoutingDelta &delta)
{
    if (base.version != delta.baseVersion)
        return std::nullopt;
    RoutingConfig config;
    config.version = delta.version;
    config.limits = delta.limits;
    config.routes = merged(base.routes, delta.routes, delta.removedRoutes);
    config.services = merged(base.services, delta.services, delta.removedServices);
    config.accounts = merged(base.accounts, delta.accounts, delta.removedAccounts);
    return config;
}

} // namespace reachlead

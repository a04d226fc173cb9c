// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/placementgroups.h>

#include <algorithm>
#include <ranges>

#include <xxhash.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

namespace {

/// Separates the hash of groups from those of preferred upstreams and dedicated engines.
constexpr std::uint64_t groupSalt = 0x67726f75; // "grou"

std::uint64_t hashText(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// The group of an upstream by rendezvous hashing, so that adding or removing a group moves only
/// the upstreams of that group.
std::uint16_t groupNumber(const UpstreamId &id, std::size_t groups)
{
    const auto numbers = std::views::iota(std::size_t{0}, groups);
    const auto score = [&](std::size_t n) { return hashText(id.text, groupSalt + n); };
    return static_cast<std::uint16_t>(*std::ranges::max_element(numbers, {}, score));
}

} // namespace

void PlacementGroups::addService(const ServiceName &service,
                                 const std::vector<const UpstreamEntry *> &upstreams)
{
    const std::size_t groups = std::max<std::size_t>(1, upstreams.size() / m_size);
    for (const UpstreamEntry *entry : upstreams) {
        const GroupName group{service, groupNumber(entry->id, groups)};
        m_members[group].insert(entry->id);
        m_groups.emplace(entry->id, group);
    }
}

void PlacementGroups::refresh(const UpstreamDirectory &directory)
{
    if (m_builtAt == directory.changeCount())
        return;
    m_builtAt = directory.changeCount();
    m_members.clear();
    m_groups.clear();
    std::set<ServiceName> services;
    for (const UpstreamEntry &entry : directory.entries() | std::views::values)
        services.insert(entry.service);
    for (const ServiceName &service : services)
        addService(service, directory.usableUpstreams(service));
}

std::optional<GroupName> PlacementGroups::findGroup(const ServiceName &service,
                                                    std::span<const KeyedPart> prompt,
                                                    const UpstreamDirectory &directory)
{
    const std::vector<const UpstreamEntry *> &upstreams = directory.usableUpstreams(service);
    PromptKey key = 0;
    if (!prompt.empty())
        key = prompt[prompt.size() < 2 ? 0 : prompt.size() - 2].key;
    const std::optional<UpstreamId> preferred = preferredUpstream(key, upstreams);
    return preferred ? findGroup(*preferred, directory) : std::nullopt;
}

std::optional<GroupName> PlacementGroups::findGroup(const UpstreamId &id,
                                                    const UpstreamDirectory &directory)
{
    refresh(directory);
    const auto it = m_groups.find(id);
    return it == m_groups.end() ? std::nullopt : std::optional(it->second);
}

const std::set<UpstreamId> &PlacementGroups::groupMembers(const GroupName &group,
                                                          const UpstreamDirectory &directory)
{
    static const std::set<UpstreamId> none;
    refresh(directory);
    const auto it = m_members.find(group);
    return it == m_members.end() ? none : it->second;
}

std::set<VmName> strongGateways(const std::map<VmName, MilliCores> &gateways)
{
    std::set<VmName> strong;
    if (gateways.empty())
        return strong;
    const MilliCores most = std::ranges::max(gateways | std::views::values);
    for (const auto &[vm, cores] : gateways) {
        if (2 * cores >= most)
            strong.insert(vm);
    }
    return strong;
}

std::optional<VmName> electScheduler(const GroupName &group, const std::set<VmName> &candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const std::uint64_t seed = hashText(group.service.text, groupSalt + group.number);
    const auto score = [&](const VmName &vm) { return hashText(vm.text, seed); };
    return *std::ranges::max_element(candidates, {}, score);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Placement groups: which gateway places the calls to which upstreams.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <reachlead/placement/promptcache.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Identifies a placement group, a subset of the upstreams of a service.
struct GroupName
{
    ServiceName service;
    std::uint16_t number = 0;

    auto operator<=>(const GroupName &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(service, number); }
};

/// Divides the upstreams of each service into groups and assigns calls to groups, with the same
/// result at all gateways that know the same upstreams. Not thread-safe, reads no clock.
///
/// In a fleet of 100 gateways each one sees 1% of the calls and receives the load of the others
/// seconds later, so calls from several gateways would collide at engines that each of them
/// considers idle. Therefore one gateway places all calls of a group and knows what runs there.
class PlacementGroups
{
public:
    /// Approximate number of upstreams in a group. A larger group leaves more choice; its scheduler
    /// receives more queries, which must fit into the control traffic allowed per VM in the largest
    /// planned fleet.
    static constexpr std::size_t defaultSize = 32;

    explicit PlacementGroups(std::size_t size = defaultSize) : m_size(size) { }

    /// The group of a call: that of the preferred upstream for the last shared part of its prompt.
    /// Empty while the service has no upstream.
    std::optional<GroupName> findGroup(const ServiceName &service,
                                       std::span<const KeyedPart> prompt,
                                       const UpstreamDirectory &directory);

    /// The upstreams of a group; empty if it does not exist.
    const std::set<UpstreamId> &groupMembers(const GroupName &group,
                                             const UpstreamDirectory &directory);

    /// The group of an upstream; empty if it takes no work.
    std::optional<GroupName> findGroup(const UpstreamId &id, const UpstreamDirectory &directory);

private:
    void refresh(const UpstreamDirectory &directory);
    void addService(const ServiceName &service,
                    const std::vector<const UpstreamEntry *> &upstreams);

    std::size_t m_size;
    std::map<GroupName, std::set<UpstreamId>> m_members;
    std::unordered_map<UpstreamId, GroupName> m_groups;
    std::optional<std::uint64_t> m_builtAt; ///< the directory's change count
};

/// The gateways that place calls for others: of \p gateways, which are those with known CPU shares,
/// all that have at least half of the largest share. A selection examines all upstreams, and on a
/// VM with a small share of a core it waits behind the calls.
std::set<VmName> strongGateways(const std::map<VmName, MilliCores> &gateways);

/// The gateway that places the calls of a group: that with the highest rendezvous score for the
/// group among \p candidates, so that a gateway that is added or removed moves only its own groups.
/// Empty without candidates.
std::optional<VmName> electScheduler(const GroupName &group, const std::set<VmName> &candidates);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which gateway places the calls of which upstreams.

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

#include <reachlead/promptcache.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Names a group of upstreams: one of those of its service.
struct GroupName
{
    ServiceName service;
    std::uint16_t number = 0;

    auto operator<=>(const GroupName &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(service, number); }
};

/// Splits the upstreams of each service into groups and the calls among them, alike at all gateways
/// that know the same upstreams. Not thread-safe, reads no clock.
///
/// Load pattern: in a fleet of a hundred gateways each sees one call in a hundred and hears of the
/// rest seconds later, so calls meet at engines that each of them takes for idle. One gateway
/// places all calls of a group, so it knows what runs there.
class PlacementGroups
{
public:
    /// Upstreams in a group, about. A gateway that places for 32 engines gets 15 questions a second
    /// at the load of the largest fleet planned for (5,700 requests/s before 12,000 replicas), with
    /// 40 bytes to 0.3 KB each: 5 to 8 KB/s of the 15 KB/s that control may take of a VM.
    static constexpr std::size_t defaultSize = 32;

    explicit PlacementGroups(std::size_t size = defaultSize) : m_size(size) { }

    /// The group that a call belongs to: that of the upstream that all gateways prefer for the last
    /// shared part of its prompt. Nothing while the service has no upstream.
    std::optional<GroupName> findGroup(const ServiceName &service,
                                       std::span<const KeyedPart> prompt,
                                       const UpstreamDirectory &directory);

    /// The upstreams of a group; empty for one that does not exist.
    const std::set<UpstreamId> &groupMembers(const GroupName &group,
                                             const UpstreamDirectory &directory);

    /// The group of an upstream; nothing for one that takes no work.
    std::optional<GroupName> findGroup(const UpstreamId &id, const UpstreamDirectory &directory);

private:
    void refresh(const UpstreamDirectory &directory);
    void addService(const ServiceName &service,
                    const std::vector<const UpstreamEntry *> &upstreams);

    std::size_t m_size;
    std::map<GroupName, std::set<UpstreamId>> m_members;
    std::unordered_map<UpstreamId, GroupName> m_groups;
    std::optional<std::uint64_t> m_madeAt; ///< the directory's count of changes
};

/// The gateways that place for others, of those whose share of a processor is known: all that have
/// at least half of the largest one. A choice looks at all upstreams, and on a VM with 0.09 of a
/// core it waits behind calls: with 24 such VMs of 30, 0.69 of the calls of a day of bursts were
/// served where gateways of any share placed, 0.80 with this and RefusalOrder, processor time
/// charged.
std::set<VmName> strongGateways(const std::map<VmName, MilliCores> &gateways);

/// The gateway that places for a group: the first of those in question by a hash over its name and
/// the group's (rendezvous hashing), so that a gateway that comes or goes moves only its own
/// groups. None among none.
std::optional<VmName> electScheduler(const GroupName &group, const std::set<VmName> &among);

} // namespace reachlead

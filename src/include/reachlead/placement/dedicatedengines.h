// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects the model engines of a service that are dedicated to short prompts, and their number.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Engines of each service that get no long prompts. Not thread-safe, reads no clock.
///
/// While an engine prefills a long prompt, its other streams advance only one step per chunk.
/// Streams of short prompts therefore get engines that prefill no long ones. All gateways order the
/// engines identically; the number of dedicated ones follows the demand that each gateway sees.
///
/// Load pattern: the number of short-prompt streams varies with the mix of calls and with bursts.
/// With a fixed number of dedicated engines, short calls wait for a slot there while other engines
/// are idle.
class DedicatedEngines
{
public:
    struct Settings
    {
        /// Minimum share of the engines for each of the two kinds regardless of demand, so that the
        /// first prompts of a burst find some.
        double minShare = 0.1;
        /// Planned share of the slots of a dedicated engine. The rest absorbs bursts and the error
        /// of loads that are up to 2.5 s old.
        double targetUtilization = 0.6;
        /// Prefill backlog in ms at which an engine for long prompts counts as fully used: about
        /// one prompt on average, because prompts arrive in bursts.
        double backlogPerEngineMs = 200.0;
    };

    /// Load of a service's engines, from all gateways whose reports were received.
    struct Demand
    {
        double shortStreams = 0; ///< running streams of short prompts
        double prefillBacklogMs = 0; ///< prefill time queued at engines that are not dedicated
    };

    /// Interval between two updates of the demand: about one round of heartbeats between gateways.
    static constexpr Duration demandInterval = milliseconds(500);
    /// The number shrinks only after it has been too large for this long, because each change moves
    /// the preferred upstreams of long prompts. It grows at once.
    static constexpr Duration shrinkDelay = seconds(2);

    explicit DedicatedEngines(const Settings &settings) : m_settings(settings) { }

    /// True if setDemand() is due.
    bool isDue(Time now) const { return m_demandUpdatedAt + demandInterval <= now; }

    /// Sets the demand of all services; a service that is not listed has none.
    void setDemand(const std::map<ServiceName, Demand> &demand, Time now);

    /// True if the engine was dedicated when the engines of its service were last queried.
    bool isDedicated(const ServiceName &service, const UpstreamId &id) const;

    /// The dedicated engines of a service.
    const std::set<UpstreamId> &engines(const ServiceName &service,
                                        const UpstreamDirectory &directory, Time now);

private:
    struct Engine
    {
        UpstreamId id;
        unsigned slots = 1;
    };
    struct Service
    {
        std::vector<Engine> engines;
        std::set<UpstreamId> dedicated; ///< the first ones of the order
        Demand demand;
        Time lastNeeded{}; ///< when all dedicated engines were last needed
    };

    static std::vector<Engine> order(const ServiceName &service,
                                     const UpstreamDirectory &directory);
    std::size_t targetCount(const Service &service) const;
    static void resize(Service *service, std::size_t count);

    Settings m_settings;
    std::map<ServiceName, Service> m_services;
    std::uint64_t m_directoryChanges = 0; ///< the directory's change count
    Time m_demandUpdatedAt{};
};

} // namespace reachlead

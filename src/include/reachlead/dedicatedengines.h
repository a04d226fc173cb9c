// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which model engines of a service are kept free of long prompts, and how many.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Chooses the quiet engines of each service. Not thread-safe, reads no clock.
///
/// Reading a long prompt slows the streams beside it to a step for each chunk, so streams of short
/// prompts get engines where none is read. All gateways rank the engines alike and differ only in
/// how many of them they take, by the demand that each of them sees.
///
/// Load pattern: how many streams of short prompts run follows the kinds of calls and their bursts.
/// A fixed tenth of 55 engines was full (32 places each) on a day without trouble, and 18 % of the
/// short calls waited more than 0.6 s for a place, while other engines stood idle.
class DedicatedEngines
{
public:
    struct Settings
    {
        /// Part of the engines that each of the two kinds keeps whatever the demand, so that the
        /// first prompts of a burst find some.
        double minShare = 0.1;
        /// Part of a quiet engine's places that is planned for. The rest is for what the next
        /// moment brings and for placing by loads that are up to 2.5 s old.
        double targetUtilization = 0.6;
        /// Work of unread prompts at which an engine of long prompts counts as used up, ms: on
        /// average about that of one prompt, as they come in clumps.
        double backlogPerEngineMs = 200.0;
    };

    /// What is asked of a service's engines, by all gateways that were heard.
    struct Demand
    {
        double brief = 0; ///< streams of short prompts that run
        double backlog = 0; ///< unread prompts at engines that are not quiet, ms of reading
    };

    /// Between two looks at the demand: about one round of beats between gateways.
    static constexpr Duration lookInterval = milliseconds(500);
    /// The number falls only after it was too large for this long, as each change moves the homes
    /// of long prompts; it rises at once.
    static constexpr Duration shrinkPause = seconds(2);

    explicit DedicatedEngines(const Settings &settings) : m_settings(settings) { }

    /// True when the demand is to be told again.
    bool isDue(Time now) const { return m_lookedAt + lookInterval <= now; }

    /// Takes the demand of all services; one that is not named has none.
    void setDemand(const std::map<ServiceName, Demand> &demand, Time now);

    /// True for an engine that was quiet when its service was last asked for.
    bool isQuiet(const ServiceName &service, const UpstreamId &id) const;

    /// The quiet engines of a service.
    const std::set<UpstreamId> &of(const ServiceName &service, const UpstreamDirectory &directory,
                                   Time now);

private:
    struct Ranked
    {
        UpstreamId id;
        unsigned slots = 1;
    };
    struct Service
    {
        std::vector<Ranked> ranked;
        std::set<UpstreamId> quiet; ///< the first of the ranked ones
        Demand demand;
        Time neededAt{}; ///< when all quiet engines were last needed
    };

    static std::vector<Ranked> rank(const ServiceName &service, const UpstreamDirectory &directory);
    std::size_t wanted(const Service &service) const;
    static void resize(Service *service, std::size_t size);

    Settings m_settings;
    std::map<ServiceName, Service> m_services;
    std::uint64_t m_rankedAt = 0; ///< the directory's count of changes
    Time m_lookedAt{};
};

} // namespace reachlead

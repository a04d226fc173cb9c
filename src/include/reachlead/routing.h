// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The configuration by which a gateway forwards calls: routes, services, accounts and limits,
/// under one version.

#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

using ServiceName = Name<struct ServiceTag>;

/// Whether calls of a route may be repeated.
enum class RouteKind : std::uint8_t {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once for each attempt of the caller
    Stream ///< answered by an event stream; as Unsafe unless it is resumable
};

/// A service that receives a share of a route's calls.
struct ServiceShare
{
    ServiceName service;
    double weight = 1.0; ///< relative to the other shares of the route

    bool operator==(const ServiceShare &) const = default;
    template <class Archive> void serialize(Archive &ar) { ar(service, weight); }
};

/// A route: the calls that it matches, and how they are handled.
struct Route
{
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    bool anonymous = false; ///< needs no key
    bool resumable = false; ///< a stream may be resumed at another upstream after an event
    unsigned priority = 0; ///< 0 is the highest
    unsigned maxAttempts = 1; ///< upstreams that one call may be sent to
    std::int64_t timeoutMs = 0; ///< maximum time to a final answer; 0: unlimited
    std::int64_t targetLatencyMs = 0; ///< to the answer, or to the first event of a stream
    std::int64_t gapTargetMs = 0; ///< target for the longest gap between events
    std::vector<ServiceShare> services;
    std::vector<RegionName> regions{}; ///< whose upstreams may serve its calls; empty: all

    bool operator==(const Route &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(name, host, pathPrefix, kind, anonymous, resumable, priority, maxAttempts, timeoutMs,
           targetLatencyMs, gapTargetMs, services, regions);
    }
};

/// Properties common to the upstreams of a service.
struct ServiceInfo
{
    ServiceName name;
    unsigned maxConnections = 0; ///< per upstream, from all callers together; 0: not known
    unsigned engineSlots = 0; ///< concurrent requests of a model engine; 0: a plain service
    std::uint64_t engineCacheTokens = 0; ///< capacity of an engine's cache in tokens
    std::uint64_t engineTokenBytes = 0; ///< size of a cached token; 0: caches cannot be copied
    double engineLinkMbps = 0; ///< bandwidth between engines; 0: caches cannot be copied
    double coldCallsPerSecond = 0; ///< calls/s to a cold upstream, of all callers; 0: unlimited
    unsigned engineTokensPerEvent = 1; ///< output tokens in an event of a stream
    bool engineMovesRuns = false; ///< engines copy the memory of a run to another, which goes on
    bool engineBacksUpRuns = false; ///< engines send the memory of a run to another as it grows
    std::int64_t engineCopyLifetimeMs = 0; ///< of an unused copy of a run's memory; 0: not known

    /// True when an engine can fetch cached parts from another.
    bool canFetch() const { return engineTokenBytes > 0 && engineLinkMbps > 0; }

    bool operator==(const ServiceInfo &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(name, maxConnections, engineSlots, engineCacheTokens, engineTokenBytes, engineLinkMbps,
           coldCallsPerSecond, engineTokensPerEvent, engineMovesRuns, engineBacksUpRuns,
           engineCopyLifetimeMs);
    }
};

/// The keys of one client account.
struct AccountKeys
{
    AccountName name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< orders calls of routes with the same priority
    std::vector<RegionName> regions{}; ///< as Route::regions; if both are set, both apply

    bool operator==(const AccountKeys &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        bool has = priority.has_value();
        unsigned value = priority.value_or(0);
        ar(name, keys, has, value, regions);
        priority = has ? std::optional(value) : std::nullopt;
    }
};

/// Limits on the size and the duration of callers' requests. The defaults apply until a
/// configuration sets others.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;

    /// The time that a request may take to arrive, whatever its size.
    Duration arrivalSlack() const { return milliseconds(headerTimeoutMs + idleTimeoutMs); }
    /// The time that so many bytes of a request may take at the slowest rate: that of a head of the
    /// largest size which arrives within its time limit.
    Duration maxArrivalTime(std::uint64_t bytes) const
    {
        return fromSeconds(static_cast<double>(bytes) * static_cast<double>(headerTimeoutMs)
                           / 1000.0 / std::max<double>(1.0, maxHeaderBytes));
    }

    bool operator==(const CallerLimits &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }
};

/// A complete configuration.
struct RoutingConfig
{
    std::uint64_t version = 0; ///< 0: none yet; a higher one replaces a lower one
    std::vector<Route> routes;
    std::vector<ServiceInfo> services;
    std::vector<AccountKeys> accounts; ///< empty: calls need no key
    CallerLimits limits;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, routes, services, accounts, limits);
    }
};

/// The calls of one urgency to a service.
struct UrgencyClass
{
    unsigned rank = 0; ///< Route::priority; 0 is the most urgent
    Duration target{}; ///< the longest target latency of its routes; zero: none
};

/// A configuration indexed for lookups. Immutable, so a request keeps the one it started with.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    const RoutingConfig &config() const { return m_config; }
    std::uint64_t version() const { return m_config.version; }

    /// The route of \p host (a port is ignored) with the longest prefix of \p path; null if there
    /// is none.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The account that has \p key; null if none does.
    const AccountKeys *accountForKey(const std::string &key) const;

    /// The urgency rank of a call at a model engine: 0 (most urgent) to lowestUrgency. The route's
    /// priority takes precedence; the account's decides between routes of the same priority
    /// (docs/QUESTIONS.md, question 1).
    unsigned urgencyRank(const Route &route, const AccountKeys *account) const;

    /// The urgency classes of a service, the most urgent first; empty if no route leads to it.
    std::span<const UrgencyClass> urgencyClasses(const ServiceName &service) const;

    /// The last of the urgency ranks supported by engines.
    static constexpr unsigned lowestUrgency = 9;

    /// The properties of a service; null if it is not configured.
    const ServiceInfo *service(const ServiceName &name) const;

private:
    RoutingConfig m_config;
    unsigned m_ranksPerPriority = 1; ///< urgency ranks available per route priority
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< longest prefix first
    std::unordered_map<std::string, const AccountKeys *> m_byKey;
    std::unordered_map<ServiceName, std::vector<UrgencyClass>> m_urgencyClasses;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Picks a service by weight. \p draw is uniformly distributed over [0, 1).
const ServiceName *pickService(const Route &route, double draw);

} // namespace reachlead

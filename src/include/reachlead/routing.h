// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway must know to forward a call: routes, services, accounts and limits, as one
/// versioned whole.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

using ServiceName = Name<struct ServiceTag>;

/// What may be done again with a call of a route.
enum class RouteKind : std::uint8_t {
    Safe, ///< idempotent: may run more than once
    Unsafe, ///< runs at most once for each attempt of the caller
    Stream ///< answered by a series of events; as Unsafe unless it may be resumed
};

/// A service that takes part of a route's calls.
struct ServiceShare
{
    ServiceName service;
    double weight = 1.0; ///< relative to the other shares of the route

    bool operator==(const ServiceShare &) const = default;
    template <class Archive> void serialize(Archive &ar) { ar(service, weight); }
};

/// One route: which calls it takes, and how they are treated.
struct Route
{
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    bool anonymous = false; ///< needs no key
    bool resumable = false; ///< a stream may go on at another upstream after an event
    unsigned priority = 0; ///< rank; 0 is the highest
    unsigned maxAttempts = 1; ///< upstreams that one call may be sent to
    std::int64_t timeoutMs = 0; ///< longest time to a final answer; 0: none
    std::int64_t targetLatencyMs = 0; ///< to the answer, or to the first event of a stream
    std::int64_t gapTargetMs = 0; ///< longest pause between events that is still on time
    std::vector<ServiceShare> services;
    std::vector<RegionName> regions{}; ///< whose upstreams may work on its calls; none: all

    bool operator==(const Route &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(name, host, pathPrefix, kind, anonymous, resumable, priority, maxAttempts, timeoutMs,
           targetLatencyMs, gapTargetMs, services, regions);
    }
};

/// What is known of all upstreams of a service.
struct ServiceInfo
{
    ServiceName name;
    unsigned maxConnections = 0; ///< of one upstream, from all callers together; 0: not told
    unsigned engineSlots = 0; ///< requests that a model engine runs at once; 0: a plain service
    std::uint64_t engineCacheTokens = 0; ///< tokens that an engine's cache holds
    std::uint64_t engineTokenBytes = 0; ///< of one cached token; 0: caches cannot be copied
    double engineLinkMbps = 0; ///< between engines; 0: caches cannot be copied
    double coldCallsPerSecond = 0; ///< calls that a cold upstream bears, of all callers; 0: any

    /// True when an engine can fetch cached parts from another.
    bool canFetch() const { return engineTokenBytes > 0 && engineLinkMbps > 0; }

    bool operator==(const ServiceInfo &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(name, maxConnections, engineSlots, engineCacheTokens, engineTokenBytes, engineLinkMbps,
           coldCallsPerSecond);
    }
};

/// The keys of one client account.
struct AccountKeys
{
    AccountName name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< goes before the route's when set
    std::vector<RegionName> regions{}; ///< as of a route; where both name some, both bind

    bool operator==(const AccountKeys &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        bool has = priority.has_value();
        unsigned value = priority.value_or(0);
        ar(name, keys, has, value, regions);
        priority = has ? std::optional(value) : std::nullopt;
    }
};

/// What a caller may send, and how long it may take. The defaults hold until a configuration
/// says otherwise.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::int64_t headerTimeoutMs = 3000;
    std::int64_t idleTimeoutMs = 15000;

    bool operator==(const CallerLimits &) const = default;
    template <class Archive> void serialize(Archive &ar)
    {
        ar(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }
};

/// One whole configuration.
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

/// A configuration made ready for look-ups. Immutable, so a request keeps the one it began with.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    const RoutingConfig &config() const { return m_config; }
    std::uint64_t version() const { return m_config.version; }

    /// The route of \p host (a port is passed over) whose prefix is the longest that begins
    /// \p path; null when there is none.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The account that holds \p key; null when none does.
    const AccountKeys *accountForKey(const std::string &key) const;

    /// How urgent a call is at a model engine: 0 (first) to lowestUrgency. The route's priority
    /// decides; among calls of equal routes the account's does (docs/QUESTIONS.md, question 1).
    unsigned urgencyRank(const Route &route, const AccountKeys *account) const;

    /// True when no route to the service goes before this one.
    bool isMostUrgent(const Route &route, const ServiceName &service) const;

    /// The last of the ranks that engines know.
    static constexpr unsigned lowestUrgency = 9;

    /// What is known of a service; null when it is not listed.
    const ServiceInfo *service(const ServiceName &name) const;

private:
    RoutingConfig m_config;
    unsigned m_ranksPerPriority = 1; ///< that fit into the ranks engines know
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< longest prefix first
    std::unordered_map<std::string, const AccountKeys *> m_byKey;
    std::unordered_map<ServiceName, unsigned> m_topPriority; ///< of the routes to a service
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Picks a service by weight. \p draw is evenly spread over 0 (included) to 1 (not included).
const ServiceName *pickService(const Route &route, double draw);

} // namespace reachlead

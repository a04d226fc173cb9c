// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One gateway's share of the retries that the fleet may send to a service.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include <reachlead/clock.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Limits on the retries of the whole fleet.
struct RetryBounds
{
    double ratio = 0.2; ///< retries per first send
    double slack = 50.0; ///< retries beyond the ratio, by the whole fleet in one window
    Duration window = seconds(10);
};

/// Counts first sends and retries in a sliding window. Not thread-safe, reads no clock.
///
/// Gateways do not coordinate: each applies the ratio to its own first sends and takes an equal
/// share of the slack. Both are scaled by safetyFactor, as the windows of the gateways are not
/// aligned. A process does not know the retries of the one that it replaced, so until these are out
/// of the window it takes only as much of the slack as safetyFactor leaves: many may be replaced at
/// once.
class RetryShare
{
public:
    explicit RetryShare(RetryBounds bounds = {}) : m_bounds(bounds) { }

    /// Sets the number of gateways, including this one.
    void setGatewayCount(std::size_t n) { m_gateways = n == 0 ? 1 : n; }

    /// The process started at \p now.
    void setStarted(Time now) { m_youngUntil = now + m_bounds.window; }

    /// Counts a call sent to its first upstream.
    void recordFirstSend(const ServiceName &service, Time now);

    /// Takes one retry from the share; returns false when it is exhausted.
    bool take(const ServiceName &service, Time now);

    /// Retries left in the share.
    double remaining(const ServiceName &service, Time now);

    static constexpr double safetyFactor = 0.75;
    static constexpr double youngFactor = 1.0 - safetyFactor; ///< of the slack

private:
    /// Sends in one part of the window. Buckets bound the memory at any rate.
    struct Bucket
    {
        Time begin;
        std::uint32_t firstSends = 0;
        std::uint32_t retries = 0;
    };
    struct History
    {
        std::deque<Bucket> buckets;
    };

    static constexpr int bucketsPerWindow = 20;

    Bucket &currentBucket(const ServiceName &service, Time now);

    RetryBounds m_bounds;
    std::size_t m_gateways = 1;
    Time m_youngUntil{};
    std::unordered_map<ServiceName, History> m_histories;
};

} // namespace reachlead

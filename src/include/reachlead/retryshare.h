// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One gateway's share of the retries that the whole fleet may make to a service.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include <reachlead/clock.h>
#include <reachlead/routing.h>

namespace reachlead {

/// What the fleet may make of repeats, and this gateway's part of it.
struct RetryBounds
{
    double ratio = 0.2; ///< repeats for each first send
    double slack = 50.0; ///< repeats besides, of the whole fleet in one window
    Duration window = seconds(10);
};

/// Counts first sends and repeats in a sliding window. Not thread-safe, reads no clock.
///
/// Gateways do not ask each other: each takes the ratio on its own first sends, and its equal part
/// of the slack. Both are used up to safetyFactor, as a window of the whole fleet does not begin
/// when this gateway's does.
class RetryShare
{
public:
    explicit RetryShare(RetryBounds bounds = {}) : m_bounds(bounds) { }

    /// How many gateways there are, this one included.
    void setGatewayCount(std::size_t n) { m_gateways = n == 0 ? 1 : n; }

    /// A call was sent to its first upstream.
    void recordFirstSend(const ServiceName &service, Time now);

    /// Takes one repeat; false when the share is used up.
    bool take(const ServiceName &service, Time now);

    /// Repeats still to be had.
    double remaining(const ServiceName &service, Time now);

    static constexpr double safetyFactor = 0.75;

private:
    /// Sends in a span of the window; spans bound the memory whatever the rate.
    struct Span
    {
        Time begin;
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    struct Book
    {
        std::deque<Span> spans;
    };

    static constexpr int spansPerWindow = 20;

    Span &current(const ServiceName &service, Time now);

    RetryBounds m_bounds;
    std::size_t m_gateways = 1;
    std::unordered_map<ServiceName, Book> m_books;
};

} // namespace reachlead

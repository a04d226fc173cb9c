// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long the calls of each service take.

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Keeps a moving average of the durations of each service's calls. Not thread-safe, reads no
/// clock.
class CallDurations
{
public:
    /// Records a call that was answered. Services beyond maxServices are not kept.
    void record(const ServiceName &service, Duration duration);

    /// The average of the last calls; nothing if fewer than minCalls are known.
    std::optional<Duration> average(const ServiceName &service) const;

    static constexpr unsigned minCalls = 8;
    static constexpr std::size_t maxServices = 256;

private:
    struct Average
    {
        Duration value{};
        unsigned calls = 0;
    };

    static constexpr int weight = 16; ///< a new call counts one part in this many

    std::map<ServiceName, Average> m_averages;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A call rate as an exact number.

#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>

namespace reachlead {

/// Calls per second in thousandths. An integer, so that the value is identical on every gateway
/// that forwards it.
struct CallRate
{
    std::uint32_t milliPerSecond = 0;

    /// Rounds to the nearest rate and saturates at the largest one. Returns nullopt for a negative,
    /// infinite or NaN value.
    static std::optional<CallRate> fromPerSecond(double value)
    {
        if (!std::isfinite(value) || value < 0)
            return std::nullopt;
        constexpr double maxMilli = std::numeric_limits<std::uint32_t>::max() - 1;
        return CallRate{static_cast<std::uint32_t>(std::min(maxMilli, std::round(value * 1000.0)))};
    }

    double perSecond() const { return milliPerSecond / 1000.0; }

    auto operator<=>(const CallRate &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(milliPerSecond); }
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A rate of calls as an exact number.

#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>

namespace reachlead {

/// Calls a second, in thousandths: a whole number, so that it is the same at all gateways that pass
/// it on.
struct CallRate
{
    std::uint32_t milli = 0;

    /// The nearest rate; none for a negative number and for what is no number. The largest rate
    /// stands for all that are larger.
    static std::optional<CallRate> fromPerSecond(double value)
    {
        if (!std::isfinite(value) || value < 0)
            return std::nullopt;
        constexpr double most = std::numeric_limits<std::uint32_t>::max() - 1;
        return CallRate{static_cast<std::uint32_t>(std::min(most, std::round(value * 1000.0)))};
    }

    double perSecond() const { return milli / 1000.0; }

    auto operator<=>(const CallRate &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(milli); }
};

} // namespace reachlead

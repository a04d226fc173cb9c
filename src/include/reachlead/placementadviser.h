// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The border between a call and whoever places it.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/upstreambook.h>

namespace reachlead {

/// A choice and who made it.
struct PlacedChoice
{
    std::optional<Choice> choice; ///< none: no upstream takes work, or it is refused
    std::optional<Duration> comeBack; ///< refused: its engines are too far behind until then
    VmName by; ///< the gateway that chose
    Duration took{};
};

/// Chooses upstreams for calls.
class PlacementAdviser
{
public:
    virtual ~PlacementAdviser() = default;

    /// Always ends within some tens of milliseconds. What \p ask points to must live until then.
    virtual boost::asio::awaitable<PlacedChoice> choose(ChoiceAsk ask) = 0;
};

} // namespace reachlead

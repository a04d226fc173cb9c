// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The border between a call and whoever places it.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/upstreamtable.h>

namespace reachlead {

/// A choice and who made it.
struct PlacementResult
{
    std::optional<Selection> selection; ///< none: no upstream takes work, or it is refused
    std::optional<Duration> retryAfter; ///< refused: its engines are too far behind until then
    VmName placedBy; ///< the gateway that chose
    Duration duration{};
};

/// Chooses upstreams for calls.
class UpstreamSelector
{
public:
    virtual ~UpstreamSelector() = default;

    /// Always ends within some tens of milliseconds. What \p ask points to must live until then.
    virtual boost::asio::awaitable<PlacementResult> select(SelectionQuery ask) = 0;
};

} // namespace reachlead

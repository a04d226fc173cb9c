// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface between a call and the component that places it.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// The selected upstream and the gateway that selected it.
struct PlacementResult
{
    /// nullopt: no upstream takes calls, or the call is refused
    std::optional<Selection> selection;
    std::optional<Duration> retryAfter; ///< set if refused because the engines are too far behind
    VmName placedBy; ///< the gateway that made the selection
    Duration duration{};
};

/// Selects upstreams for calls.
class UpstreamSelector
{
public:
    virtual ~UpstreamSelector() = default;

    /// Always completes within some tens of milliseconds. What \p query points to must stay valid
    /// until then.
    virtual boost::asio::awaitable<PlacementResult> select(SelectionQuery query) = 0;
};

} // namespace reachlead

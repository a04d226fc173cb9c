// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface between a call and the component that places it.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/error.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// The selected upstream and the gateway that selected it.
struct PlacementResult
{
    /// nullopt: no upstream takes calls, or the call is refused
    std::optional<Selection> selection;
    std::optional<Duration> retryAfter; ///< set if refused because the engines are too far behind
    ErrorKind refusal = ErrorKind::PredictedLate; ///< why, if refused
    bool isWithdrawn = false; ///< SelectionQuery::cancel ended the wait
    Duration waited{}; ///< at schedulers, until they granted or refused an upstream
    VmName placedBy; ///< the gateway that made the selection
    Duration duration{};
};

/// Selects upstreams for calls.
class UpstreamSelector
{
public:
    virtual ~UpstreamSelector() = default;

    /// Completes within some tens of milliseconds, or if calls wait at schedulers, when the call
    /// can begin or is refused. What \p query points to must stay valid until then.
    virtual boost::asio::awaitable<PlacementResult> select(SelectionQuery query) = 0;

    /// Records that a call got no answer because of a lack of capacity, so that less urgent ones
    /// give way.
    virtual void recordUnserved(const ServiceName & /*service*/, unsigned /*urgencyRank*/) { }

    /// True if selections use SelectionQuery::requestKey and the other fields about waiting calls.
    virtual bool usesQueue() const { return false; }
};

} // namespace reachlead

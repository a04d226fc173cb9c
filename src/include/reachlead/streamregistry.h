// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface between a call and the component that knows which software version began a stream.

#pragma once

#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <reachlead/streambindings.h>

namespace reachlead {

/// What the fleet knows of a stream.
struct StreamLookup
{
    std::optional<StreamBinding> binding; ///< none: not known to any gateway that answered
    Duration age{}; ///< time since the binding was recorded
    VmName source; ///< the gateway that knew it
    /// Versions of the service's upstreams that gateways without the binding have seen recently.
    std::set<SoftwareVersion> versions;
    std::size_t unansweredCount = 0; ///< gateways that were queried and did not answer
};

/// Keeps the bindings of streams where they outlive this gateway.
class StreamRegistry
{
public:
    virtual ~StreamRegistry() = default;

    /// Records a binding here and at other gateways. Returns at once.
    virtual void record(const StreamKey &stream, const StreamBinding &binding,
                        Duration retention) = 0;

    /// Looks up a stream that a caller of \p service resumes. Completes within some tens of
    /// milliseconds, or 0.2 s if gateways do not answer.
    virtual boost::asio::awaitable<StreamLookup> find(StreamKey stream, ServiceName service) = 0;

    /// All versions that can have begun a stream of the service before \p asOf which callers may
    /// still resume; none: not known, for instance as the state is older.
    virtual boost::asio::awaitable<std::optional<std::set<SoftwareVersion>>>
    recentVersions(ServiceName service, Time asOf) = 0;
};

} // namespace reachlead

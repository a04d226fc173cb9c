// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The rate limits that upstreams name in their answers.

#pragma once

#include <optional>
#include <unordered_map>

#include <reachlead/callrate.h>
#include <reachlead/clock.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// The limits of all upstreams that named one lately. Not thread-safe, reads no clock.
///
/// A limit holds for the life of an upstream that named it, for all gateways together, until an
/// answer comes without it.
class UpstreamLimits
{
public:
    /// A limit that nobody heard for this long is over, so that a gateway that missed its end does
    /// not keep it for good.
    static constexpr Duration forgetAfter = seconds(60);

    /// An answer of the upstream named \p limit, or none. True when that is a change.
    bool heard(const UpstreamId &id, std::optional<CallRate> limit, Time now);

    /// The limit in force.
    std::optional<CallRate> of(const UpstreamId &id, Time now) const;

    /// No limit was heard lately.
    bool isEmpty() const { return m_heard.empty(); }

    /// Drops what was not heard for forgetAfter.
    void forgetOld(Time now);

private:
    struct Heard
    {
        std::optional<CallRate> limit; ///< none: it is over
        Time at{};
    };

    std::unordered_map<UpstreamId, Heard> m_heard;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The pace at which calls begin at the upstreams of a group.

#pragma once

#include <deque>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// Work begun in the last second, by urgency rank. While calls wait, this is what the upstreams
/// can do, whatever limits them. Not thread-safe, reads no clock.
class BegunWork
{
public:
    /// Long enough for some calls of each kind, short against the waves of callers.
    static constexpr Duration window = seconds(1);

    void add(unsigned urgencyRank, double units, Time now);

    /// Units per second that calls of \p urgencyRank may use: all work but that of more urgent
    /// ranks. None if nothing has begun for a window.
    std::optional<double> rate(unsigned urgencyRank, Time now) const;

private:
    struct Entry
    {
        Time at;
        unsigned urgencyRank = 0;
        double units = 0;
    };

    std::deque<Entry> m_entries; ///< oldest first
};

} // namespace reachlead

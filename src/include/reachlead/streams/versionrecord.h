// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The software versions that a service had lately, as stored for processes that start later.

#pragma once

#include <map>
#include <optional>
#include <set>

#include <reachlead/fleettime.h>
#include <reachlead/streambindings.h>

namespace reachlead {

/// The versions of a service and until when each had upstreams. Pure.
///
/// A process that has just started knows the versions that serve now. Streams that are resumed then
/// may have begun before, at a version that has left since.
struct VersionRecord
{
    /// When a version lost its last upstream; 0: it has upstreams.
    std::map<SoftwareVersion, UnixMillis> goneAt;
    std::uint64_t era = 0; ///< of the store when the record was written
    /// Versions that left before may be missing; 0: none is missing.
    UnixMillis completeSince = 0;

    /// Time after which a version that has left, or that may be missing, no longer matters: the
    /// longest time in which callers resume, and the difference between the clocks of VMs.
    static constexpr Duration retention = StreamBindings::maxRetention + seconds(10);

    bool operator==(const VersionRecord &) const = default;

    /// True if recent() names all versions. A store that was restored from a copy may hold a record
    /// from before the last version.
    bool isComplete(std::uint64_t storeEra, UnixMillis now) const;

    /// The versions that may have begun a stream whose caller can still resume it.
    std::set<SoftwareVersion> recent(UnixMillis now) const;

    /// The record to be stored next. \p serving are the versions that have upstreams, and
    /// \p observed those that had some lately.
    static VersionRecord next(const std::optional<VersionRecord> &stored, std::uint64_t storeEra,
                              const std::set<SoftwareVersion> &serving,
                              const std::set<SoftwareVersion> &observed, UnixMillis now);
};

} // namespace reachlead

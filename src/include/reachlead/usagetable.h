// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Numbers of calls that started to run, per client account and time window.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <reachlead/fleettime.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Number of a usage window: window k starts k window lengths after the start of 1970, UTC.
using WindowNumber = std::int64_t;

/// Calls that started to run, by account.
using UsageCounts = std::map<AccountName, std::uint32_t>;

/// One incarnation of a gateway.
struct GatewayIncarnation
{
    VmName vm;
    Incarnation incarnation;

    auto operator<=>(const GatewayIncarnation &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(vm, incarnation); }
};

/// The counts of one gateway incarnation in one window.
struct WindowUsage
{
    GatewayIncarnation gateway;
    WindowNumber window = 0;
    bool isFinal = false; ///< the counts no longer grow
    UsageCounts counts;

    template <class Archive> void serialize(Archive &ar) { ar(gateway, window, isFinal, counts); }
};

/// The counts of all known gateway incarnations. Not thread-safe; the time is passed in.
///
/// Within an incarnation, the count of an account in a window only grows, so reports may arrive
/// twice, late and in any order: the largest count is the newest. The counts of an exited
/// incarnation are kept and the next one of the VM starts without any, so a restart neither loses
/// calls nor counts them twice.
class UsageTable
{
public:
    UsageTable(GatewayIncarnation self, Duration windowLength)
        : m_self(std::move(self)), m_windowLength(windowLength)
    { }

    /// Returns the window that contains a time of day.
    WindowNumber windowAt(UnixMillis at) const;
    UnixMillis windowEnd(WindowNumber window) const;

    /// Counts a call of an account that started to run at \p at.
    void countCall(const AccountName &account, UnixMillis at);

    /// Merges the reported counts of another incarnation; those of this one are ignored.
    void merge(const WindowUsage &usage);

    /// Returns this incarnation's counts in a window; final if the window has settled by \p now.
    WindowUsage ownUsage(WindowNumber window, UnixMillis now) const;

    /// Returns the counts of incarnations that are not in \p live, as no one else reports them.
    std::vector<WindowUsage> exitedUsage(const std::set<GatewayIncarnation> &live,
                                         WindowNumber window) const;

    /// Returns the sum of the counts of all incarnations in a window.
    UsageCounts total(WindowNumber window) const;

    /// True when the counts of an incarnation in a window are known to be final.
    bool isFinal(const GatewayIncarnation &gateway, WindowNumber window) const;

    /// Removes windows before \p window.
    void dropBefore(WindowNumber window);

    const GatewayIncarnation &self() const { return m_self; }

    /// Time from the end of a window until its counts are final: the first event of a call may
    /// still be in flight, and clocks differ slightly.
    static constexpr Duration settleTime = milliseconds(300);
    /// Windows that are kept: one minute of 5 s windows. A report is useful for less than that.
    static constexpr WindowNumber maxWindows = 12;

private:
    struct Entry
    {
        UsageCounts counts;
        bool isFinal = false;
    };

    GatewayIncarnation m_self;
    Duration m_windowLength;
    std::map<WindowNumber, std::map<GatewayIncarnation, Entry>> m_windows;
};

} // namespace reachlead

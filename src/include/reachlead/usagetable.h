// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many calls of each client account began to run in each window of time.

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

/// Numbers the windows of usage: window k begins k times the window's length after 1970.
using WindowNumber = std::int64_t;

/// Calls that began to run, by account.
using UsageCounts = std::map<AccountName, std::uint32_t>;

/// One life of one gateway.
struct GatewayIncarnation
{
    VmName vm;
    Incarnation incarnation;

    auto operator<=>(const GatewayIncarnation &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(vm, incarnation); }
};

/// What one life of a gateway counted in one window.
struct WindowUsage
{
    GatewayIncarnation gateway;
    WindowNumber window = 0;
    bool isFinal = false; ///< the counts grow no more
    UsageCounts counts;

    template <class Archive> void serialize(Archive &ar) { ar(gateway, window, isFinal, counts); }
};

/// The counts of all lives of all gateways that were heard. Not thread-safe, reads no clock.
///
/// A life's count of an account in a window only grows, so words of it may come twice, late and in
/// any order: the largest is the newest. A life that ended keeps its counts, and the next life of
/// the VM begins with none, so nothing is counted twice or lost by a restart.
class UsageTable
{
public:
    /// \p span is a window's length.
    UsageTable(GatewayIncarnation self, Duration span) : m_self(std::move(self)), m_span(span) { }

    /// The window that a time of day lies in.
    WindowNumber windowAt(UnixMillis at) const;
    /// When a window ends.
    UnixMillis windowEnd(WindowNumber window) const;

    /// A call of an account began to run.
    void countCall(const AccountName &account, UnixMillis at);

    /// Takes what is told of a life's counts.
    void merge(const WindowUsage &told);

    /// This life's counts of a window; final once the window has settled by \p now.
    WindowUsage ownUsage(WindowNumber window, UnixMillis now) const;

    /// The counts of lives that are not in \p live: nobody else will tell them.
    std::vector<WindowUsage> exitedUsage(const std::set<GatewayIncarnation> &live,
                                         WindowNumber window) const;

    /// All lives' counts of a window, summed.
    UsageCounts total(WindowNumber window) const;

    /// True when this life's counts of a window are known to be final.
    bool isFinal(const GatewayIncarnation &life, WindowNumber window) const;

    /// Forgets windows before \p window.
    void dropBefore(WindowNumber window);

    const GatewayIncarnation &self() const { return m_self; }

    /// From a window's end until its counts are final: a call's first event may be under way, and
    /// clocks differ a little.
    static constexpr Duration settleTime = milliseconds(300);
    /// Windows that are remembered: a minute at windows of 5 s; a report is of use for less.
    static constexpr WindowNumber maxWindows = 12;

private:
    struct Kept
    {
        UsageCounts counts;
        bool isFinal = false;
    };

    GatewayIncarnation m_self;
    Duration m_span;
    std::map<WindowNumber, std::map<GatewayIncarnation, Kept>> m_windows;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Selects the gateway that reports usage, and decides which report it may send when.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/storerevision.h>
#include <reachlead/usagetable.h>

namespace reachlead {

/// Increases with each new lease holder.
using FencingToken = std::uint64_t;

/// The token of the first lease holder in an era of the store. It is higher than all tokens of
/// earlier eras, which a restored store may have lost.
constexpr FencingToken firstToken(std::uint64_t era)
{
    constexpr FencingToken tokensPerEra = 1'000'000;
    return era * tokensPerEra + 1;
}

/// State of usage reporting in the platform's store, one object for each era of the store: the
/// counts of one window, which are never changed once written, and the lease holder that sends
/// them.
struct UsageRecord
{
    FencingToken token = 0;
    GatewayIncarnation holder;
    WindowNumber window = 0;
    UsageCounts counts;
    std::uint64_t renewals = 0; ///< increases with each write, so that each changes the object

    auto operator<=>(const UsageRecord &) const = default;
};

/// The record as stored.
struct StoredUsage
{
    UsageRecord record;
    StoreRevision revision; ///< expected by a conditional write

    auto operator<=>(const StoredUsage &) const = default;
};

/// The next step of the reporter.
enum class UsageStep : std::uint8_t {
    Idle, ///< nothing to do now
    Skip, ///< the record's window, in which no call started: no report is due
    Read, ///< the store's record
    Write, ///< the record, if the store still has the revision that was read
    Send ///< the record's window to the platform
};

struct UsageAction
{
    UsageStep step = UsageStep::Idle;
    UsageRecord record; ///< to write or to send
    StoreRevision revision; ///< to overwrite; no number: the era must have no record
    bool isTakeover = false; ///< the write makes this gateway the holder
    Duration limit{}; ///< of a report: none of it may be in flight after that time
};

/// Inputs for the next step, besides the record.
struct UsageView
{
    Time now;
    WindowNumber dueWindow = 0; ///< the last window that this gateway may report by now
    bool isComplete = false; ///< the counts of all live gateways are known up to that window
    UsageCounts counts; ///< of the window that nextWindow() returns
    bool hasCalls = false; ///< calls are known in that window or a later one that is due
};

/// State machine that reports usage if this gateway holds the lease. Pure: the time and the results
/// of reads and writes are passed in.
///
/// The platform does not check fencing tokens and accepts two reports of the same window.
/// Therefore, only one version of a report may ever be sent, and by one holder at a time:
///  - a conditional write of one object fixes the counts of a window before they are sent; after a
///    takeover, the stored counts are sent before those of the next window;
///  - each write starts a lease of lease(): its holder sends only until sendTimeout() after it
///    started the write; another gateway writes only after it has seen the same revision for a
///    whole lease by its own steady clock, and with a higher token;
///  - a write without a reply is read back before anything else.
///  - a store that was restored from an older copy begins a new era with no record. Which windows
///    were reported before is not known then, but none was that had not ended. So only windows that
///    end after a gateway found no record are reported, and not before a lease has passed, in
///    which a holder of the earlier era may still send.
/// So if the holder is suspended, partitioned or killed between any two steps, its successor sends
/// the same counts, and the holder's own late write fails because of the revision.
class UsageReporter
{
public:
    /// \p lease is the time after a write during which no other gateway may act.
    UsageReporter(GatewayIncarnation self, Duration lease) : m_self(std::move(self)), m_lease(lease)
    { }

    /// Returns the window to be reported next.
    WindowNumber nextWindow(WindowNumber due) const;

    /// Returns the next step, whose result must be passed to one of the functions below.
    UsageAction next(const UsageView &view) const;

    /// A read in the store's \p era completed at \p now with this record; none: the era has no
    /// record. \p openWindow contains the current time.
    void onRead(const std::optional<StoredUsage> &stored, std::uint64_t era, Time now,
                WindowNumber openWindow);
    /// A write that started at \p startedAt succeeded, and the store now has \p revision.
    void onWritten(const UsageRecord &record, StoreRevision revision, Time startedAt);
    /// The result of a write is unknown, or the store has another revision.
    void invalidate() { m_isCurrent = false; }
    /// The platform accepted the report.
    void onSent(const UsageRecord &record);
    /// No report is due for a window in which no call started.
    void skip(WindowNumber window);

    auto operator<=>(const UsageReporter &) const = default;

    Duration lease() const { return m_lease; }
    bool isHolder() const { return m_stored && m_stored->record.holder == m_self; }
    const std::optional<StoredUsage> &lastKnown() const { return m_stored; }

    /// Time after the start of a write during which its report may be sent; the connection is
    /// closed at its end. The rest of the lease allows for a clock step and for data in flight.
    Duration sendTimeout() const { return m_lease / 2; }

    /// Windows that are still reported after a time without a lease holder; reports of older ones
    /// would be too late.
    static constexpr WindowNumber maxWindowsBehind = 3;

    /// A record that was read longer ago is read again before it is overwritten.
    static constexpr Duration maxReadAge = milliseconds(500);

private:
    UsageAction takeOver(const UsageView &view, UsageAction action) const;

    GatewayIncarnation m_self;
    Duration m_lease;
    std::optional<StoredUsage> m_stored; ///< none: there is no record
    bool m_isCurrent = false; ///< m_stored is the latest known state of the store
    Time m_readAt{}; ///< when the record was last read or written
    Time m_seenAt{}; ///< when the revision was first seen
    std::optional<Time> m_writtenAt; ///< when this gateway's write of the revision started
    bool m_isSent = false; ///< the record's window was sent by this incarnation
    WindowNumber m_lastSkipped = 0;
    std::uint64_t m_era = 0; ///< of the last read
    std::optional<Time> m_absentSince; ///< when the era was first found to have no record
    WindowNumber m_firstWindow = 0; ///< that may be reported in the era
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which gateway reports usage, and what it may send when.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/usagetable.h>

namespace reachlead {

/// Rises with each holder of the duty.
using FencingToken = std::uint64_t;

/// What the fleet keeps of the duty in the platform's store, as one object: the counts of one
/// window, fixed for good, and who sends them.
struct UsageRecord
{
    FencingToken token = 0;
    GatewayIncarnation holder;
    WindowNumber window = 0;
    UsageCounts counts;
    std::uint64_t renewals = 0; ///< rises with each write, so that none leaves the object unchanged

    auto operator<=>(const UsageRecord &) const = default;
};

/// The record as the store keeps it.
struct StoredUsage
{
    UsageRecord record;
    std::uint64_t revision = 0; ///< a conditional write names it

    auto operator<=>(const StoredUsage &) const = default;
};

/// What the duty wants to be done next.
enum class UsageStep : std::uint8_t {
    Idle, ///< nothing now
    Skip, ///< the record's window: nothing began in it, and no report is due
    Read, ///< the store's record
    Write, ///< the record, if the store still has the revision that was read
    Send ///< the record's window to the platform
};

struct UsageAction
{
    UsageStep step = UsageStep::Idle;
    UsageRecord record; ///< to write or to send
    std::optional<std::uint64_t> revision; ///< to write over; none: no record may be there
    bool isTakeover = false; ///< the write makes this gateway the holder
    Duration limit{}; ///< of a report: nothing of it may be on its way after that
};

/// What decides the next step besides the record.
struct UsageView
{
    Time now;
    WindowNumber dueWindow = 0; ///< the last window that this gateway may report by now
    bool isComplete = false; ///< the counts of all gateways that live are known up to it
    UsageCounts counts; ///< of the window that wanted() names
    bool hasCalls = false; ///< calls are known in it or a later window that is due
};

/// The holder's part of the report of usage. Pure: it is told of time, reads and writes.
///
/// The platform does not check fencing tokens and takes two reports of a window, so that at most
/// one text of a window may ever be sent, and by one holder at a time:
///  - a conditional write of one object fixes the counts of a window before they are sent; whoever
///    takes over sends what is written there, and only then goes on to the next window;
///  - each write is a lease of lease(): its holder sends only until sendTimeout after it began the
///    write; another gateway writes only once it has seen the same revision for a whole lease by
///    its own steady clock, and with a higher token;
///  - a write without an answer is read back before anything else.
/// So a holder that is paused, cut off or killed between any two steps is followed by one with the
/// same counts, and its own late write fails by the revision.
class UsageReporter
{
public:
    /// \p lease is the time for which no other gateway may act after a write.
    UsageReporter(GatewayIncarnation self, Duration lease) : m_self(std::move(self)), m_lease(lease)
    { }

    /// The window that is to be reported next.
    WindowNumber nextWindow(WindowNumber due) const;

    /// What is to be done; each step is followed by the call that tells how it ended.
    UsageAction next(const UsageView &view) const;

    /// A read was answered at \p now with this record; none: there is no record.
    void onRead(const std::optional<StoredUsage> &stored, Time now);
    /// A write that began at \p began was done, and the store now has \p revision.
    void onWritten(const UsageRecord &record, std::uint64_t revision, Time began);
    /// Whether a write was done is not known, or the store has another revision.
    void invalidate() { m_isKnown = false; }
    /// The platform took the report.
    void onSent(const UsageRecord &record);
    /// No report is due for a window: nothing began in it.
    void skip(WindowNumber window);

    auto operator<=>(const UsageReporter &) const = default;

    Duration lease() const { return m_lease; }
    bool isHolder() const { return m_known && m_known->record.holder == m_self; }
    const std::optional<StoredUsage> &lastKnown() const { return m_known; }

    /// Time within which a report may be sent after its write began, and the connection is given
    /// up: far enough below the lease for a step of the clock and for bytes under way.
    Duration sendTimeout() const { return m_lease / 2; }

    /// Windows that are still reported when all were without a holder for a while: older ones are
    /// past their time.
    static constexpr WindowNumber maxWindowsBehind = 3;

    /// A record that was read longer ago is read again before it is written over.
    static constexpr Duration maxReadAge = milliseconds(500);

private:
    UsageAction takeOver(const UsageView &view, UsageAction action) const;

    GatewayIncarnation m_self;
    Duration m_lease;
    std::optional<StoredUsage> m_known; ///< none: there is no record
    bool m_isKnown = false; ///< m_known is what the store had last
    Time m_readAt{}; ///< when the record was last read or written
    Time m_seenAt{}; ///< since when the revision is known
    std::optional<Time> m_writtenAt; ///< when the own write of this revision began
    bool m_isSent = false; ///< the record's window, by this life
    WindowNumber m_skipped = 0;
};

} // namespace reachlead

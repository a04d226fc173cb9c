// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Counters and gauges of one process, exported in the Prometheus text format.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include <reachlead/error.h>
#include <reachlead/streams/eventsequence.h>

namespace reachlead {

/// The counters that are not labelled with an error kind.
enum class Counter : std::uint8_t {
    RequestsAccepted,
    RequestsCompleted,
    Dispatched,
    TokensDelivered,
    TokensWasted,
    StaleFrames,
    HostileFrames,
    SessionsOpened,
    SessionsLost,
    Queries,
    Reattached,
    Resumed,
    Preempted,
    ForbiddenTransitions,
    HeartbeatsSent,
    HeartbeatsReceived,
    SettingsApplied,
    SettingsStale,
    ClaimWrites,
    ClaimsMade,
    UpstreamCancels,
    PlatformCalls,
    PlatformFailures,
    RingFull,
    OrdersTaken,
    OrdersFenced,
    PlacementsAnswered,
    PlacementsUnanswered,
    PlacementsGiven,
    PlacementsDeclined,
    EntriesUnreadable,
    UsageWindowsSent,
    UsageSendsFailed,
    UsageTakeovers,
    UpstreamsCrashed,
    QuarantinesStarted,
    LimitsReceived,
    LimitSharesRequested,
    LimitSharesLent,
    LimitSharesBorrowed,
    LeavingReceived,
    BackoffsReceived,
    StoreRestores,
    StreamsResumed,
    StreamsUnknown,
    StreamsEvicted,
    StreamBatchesWritten,
    StreamBatchesFailed,
    StreamArchiveReads,
    QuarantinesReleased,
    CallersStalled,
    ReadsPaused,
    CallsQueued,
    CallsGranted,
    CallsWithdrawn,
    CallsHandedBack,
    PlacesKept,
    PlacesTaken,
    QueueSchedulersLost,
    RunsBackedUp,
    RunsContinued,
    ContinuationsRefused,
    UpstreamsSlow,
    FeedsOverdue,
    WatchAnswersLost,
    StateBehind,
    PeerDatagramsSent,
    PeerDatagramsUnsent,
    PeerDatagramsReceived,
    PeerDatagramsSuperseded,
    RevisionsRejected, ///< of the store's objects
    AnswersRejected, ///< of engines, at their agents
    ConnectionsYielded, ///< closed in favour of other callers before a request
    Size
};

enum class Gauge : std::uint8_t {
    OpenConnections,
    OpenRequests,
    Queued,
    Running,
    Window,
    Sessions,
    SettingsVersion,
    Draining,
    HeldBytes,
    CallsWaitingForRoom,
    WaitingCalls,
    KeptPlaces,
    SlowUpstreams,
    StateAgeMs,
    LoopLagMs,
    PeerDelayMs,
    PeerBatch,
    Size
};

/// All counters and gauges of a process. Thread-safe; each update is one relaxed atomic operation.
class Counters
{
public:
    void add(Counter c, std::uint64_t n = 1);

    /// Counts a request that was refused or ended for this reason.
    void refused(ErrorKind kind);

    /// Counts a request that was dispatched again for this reason.
    void retried(ErrorKind kind);

    /// Counts an event of an upstream that was rejected for this reason.
    void rejected(EventFault fault);

    void set(Gauge g, std::int64_t value);
    void adjust(Gauge g, std::int64_t by);

    std::uint64_t value(Counter c) const;
    std::uint64_t refusedCount(ErrorKind kind) const;
    std::uint64_t retriedCount(ErrorKind kind) const;
    std::uint64_t rejectedCount(EventFault fault) const;
    std::int64_t value(Gauge g) const;

    /// Renders all values in the Prometheus text format.
    std::string page() const;

private:
    template <class T, std::size_t n> using Cells = std::array<std::atomic<T>, n>;

    Cells<std::uint64_t, static_cast<std::size_t>(Counter::Size)> m_counts{};
    Cells<std::uint64_t, errorKindCount> m_refused{};
    Cells<std::uint64_t, errorKindCount> m_retried{};
    Cells<std::uint64_t, static_cast<std::size_t>(EventFault::Size)> m_rejected{};
    Cells<std::int64_t, static_cast<std::size_t>(Gauge::Size)> m_gauges{};
};

} // namespace reachlead

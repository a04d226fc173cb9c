// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The calls that wait at this gateway as the scheduler of placement groups.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/scheduling/callqueue.h>

#include "peer/placementmessages.h"

namespace reachlead {

/// What a call needs of its upstream; outlives the query that it was read from.
struct QueuedCall
{
    GroupName group;
    WaitingCallId id;
    Incarnation incarnation; ///< of the gateway
    bool isLocal = false; ///< a call of this gateway
    ZoneName zone;
    std::string model;
    std::vector<PromptPart> prompt;
    std::set<UpstreamId> tried;
    LatencySlack slack;
    AccountName account;
    std::uint64_t requestKey = 0; ///< as in SelectionQuery
    TokenCount outputTokens = 0; ///< as in SelectionQuery
    std::size_t bytes = 0; ///< as in SelectionQuery
    std::optional<ZoneSet> permittedZones;
    std::optional<SoftwareVersion> softwareVersion;
    Duration waited{}; ///< at other schedulers

    /// Copies the requirements of a call of this gateway.
    static QueuedCall fromQuery(const SelectionQuery &query, const GroupName &group,
                                const VmName &self);
};

/// The end of a call's wait.
struct QueueOutcome
{
    std::optional<Selection> selection; ///< none: refused, handed back, or no upstream takes it
    std::optional<Duration> retryAfter; ///< set if refused
    ErrorKind refusal = ErrorKind::PredictedLate; ///< why, if refused
    bool isHandedBack = false; ///< this gateway is stopping
    QueryId grant = 0; ///< number of the grant to a call of another gateway; 0: it did not wait
    Duration waited{}; ///< here and at other schedulers
};

/// Holds the queues of the groups that this gateway schedules, and offers waiting calls to the
/// upstreams whenever load may have changed. Not thread-safe.
class PlacementQueue
{
public:
    struct Options
    {
        bool isEnabled = false; ///< if false, calls are placed or refused at once
        bool queuesPlainCalls = false; ///< also those without a prompt
        CallQueue::Bounds bounds; ///< for each group
        /// Longest wait as a share of the target; the rest is for the call's own prompt.
        double waitTargets = 0.6;
    };

    /// Interval at which waiting calls are offered to the upstreams; short against the prefill of a
    /// prompt, so that no upstream runs idle for long.
    static constexpr Duration offerInterval = milliseconds(5);
    /// A waiting call of another gateway is dropped if nothing was heard about it for this time:
    /// its gateway is gone. Several times the interval of the notes.
    static constexpr Duration silenceLimit = milliseconds(700);
    /// Share of a caller's time that is left for the answer, as in EarlyRefusal.
    static constexpr double answerShare = 0.5;

    /// Passes the end of a wait on. Not called for a call that submit() answered.
    using Deliver = std::function<void(const QueuedCall &, const QueueOutcome &)>;
    /// True if this gateway holds most of the limits of a group, see SelectionQuery::ownsLimits.
    using OwnsLimits = std::function<bool(const GroupName &)>;

    PlacementQueue(boost::asio::io_context &io, const Options &options, GatewayState &state,
                   Counters *counters, Deliver deliver, OwnsLimits ownsLimits);

    /// Adds a call. Returns its outcome if that is known at once; otherwise it waits.
    std::optional<QueueOutcome> submit(QueuedCall call);

    /// Longest time that a call goes on waiting; none if it does not wait.
    std::optional<Duration> remainingWait(const GroupName &group, const WaitingCallId &id) const;

    /// The gateway of a waiting call is live.
    void heardOf(const GroupName &group, const WaitingCallId &id);

    /// The caller of a waiting call is gone.
    void withdraw(const GroupName &group, const WaitingCallId &id);

    /// Ends all waits, as this gateway is stopping.
    void handBackAll();

    /// Offers the waiting calls of all groups to the upstreams.
    void offerAll();

    /// True while calls of the group wait, and shortly afterwards.
    bool isBusy(const GroupName &group) const;
    static constexpr Duration busyTime = milliseconds(500); ///< see isBusy()

    bool isEnabled() const { return m_options.isEnabled; }
    bool queuesPlainCalls() const { return m_options.queuesPlainCalls; }

private:
    struct Waiting
    {
        QueuedCall call;
        Time since;
        Time heardAt;
        std::optional<Selection> found = std::nullopt; ///< upstream with room, when it came
    };
    struct Group
    {
        explicit Group(const CallQueue::Bounds &bounds) : queue(bounds) { }

        CallQueue queue;
        std::map<WaitingCallId, Waiting> waiting;
        std::optional<Time> busyAt;
    };
    using Outcomes = std::map<WaitingCallId, QueueOutcome>;

    SelectionQuery makeQuery(const QueuedCall &call) const;
    WaitingCall makeWaitingCall(const QueuedCall &call, const Selection &base, Time now) const;
    std::optional<Selection> select(const QueuedCall &call, bool requiresRoom, Time now);
    CallQueue::Offer offer(Waiting &waiting, bool isNew, Time now, Outcomes *outcomes);
    void offerGroup(Group &group, const std::optional<WaitingCallId> &newCall, Time now,
                    Outcomes *outcomes);
    void endWaits(Group &group, const Outcomes &outcomes);
    void dropSilent(Group &group, Time now);
    void startTimer();
    void updateGauges();
    void logSummary(Time now);
    void count(Counter c, std::uint64_t n = 1);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    Counters *m_counters;
    Deliver m_deliver;
    OwnsLimits m_ownsLimits;
    std::map<GroupName, Group> m_groups;
    QueryId m_lastGrant = firstGrant;
    bool m_isTimerRunning = false;
    Timer m_timer;
    Time m_loggedAt{};
    std::map<ErrorKind, unsigned> m_refusedSinceLog;
    unsigned m_queuedSinceLog = 0;
    unsigned m_grantedSinceLog = 0;
    Duration m_waitedSinceLog{}; ///< of granted calls
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(); ///< expires with this object
};

} // namespace reachlead

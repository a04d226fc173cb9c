// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The decision logic of an agent, the single point of access to its upstream.
///
/// Only the agent knows which calls reached its upstream. It therefore decides the order of service
/// at the upstream, at-most-once execution, leaving, and whether a call provably did not run.
/// Does no I/O, starts no threads and reads no clock. Not thread-safe: one thread owns it.

#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <reachlead/admission.h>
#include <reachlead/counters.h>
#include <reachlead/messages.h>

namespace reachlead {

/// Identifies a session within one agent process; never reused.
enum class SessionId : std::uint64_t { };

/// One attempt of one request.
struct AttemptKey
{
    RequestId id;
    Attempt attempt = 0;

    auto operator<=>(const AttemptKey &) const = default;
};

/// Result of claiming an idempotency key.
enum class ClaimResult : std::uint8_t {
    Granted, ///< only this attempt may run
    Taken, ///< another request holds the key
    StoreDown ///< the store could not be reached; the call was not run
};

struct SendToRouter
{
    SessionId session{};
    ToRouter message;
};
struct CloseSession
{
    SessionId session{};
    std::string reason;
};
/// Send the call to the upstream.
struct StartUpstreamCall
{
    AttemptKey key;
    std::shared_ptr<const Dispatch> dispatch;
};
/// Cancel the call at the upstream.
struct CancelUpstreamCall
{
    AttemptKey key;
};
/// Claim the idempotency key before the call is sent.
struct MakeClaim
{
    AttemptKey key;
    AccountName account;
    std::string idempotencyKey;
};
/// Release the key: the claimed call provably did not run.
struct ReleaseClaim
{
    AttemptKey key;
    AccountName account;
    std::string idempotencyKey;
};
using AgentAction = std::variant<SendToRouter, CloseSession, StartUpstreamCall, CancelUpstreamCall,
                                 MakeClaim, ReleaseClaim>;

/// Durations and limits of an agent.
struct AgentTuning
{
    AdmissionWindow::Bounds window;
    std::size_t queueBound = 16; ///< requests queued at the agent
    Duration reattachGrace = seconds(5); ///< how long a stream runs on without a router
    Duration finishedRetention = seconds(30); ///< records of finished attempts
    Duration answerRetention = seconds(600); ///< answers of calls with an idempotency key
    std::size_t maxFinished = 4096; ///< finished records; the oldest is evicted first
    std::size_t maxAnswerBytes = 4U << 20U;
    std::size_t maxRouters = 2048; ///< router incarnations remembered
};

class AgentCore
{
public:
    class Builder
    {
    public:
        Builder &vm(VmName v);
        Builder &zone(ZoneName z);
        Builder &incarnation(Incarnation i);
        Builder &target(TargetName t);
        Builder &softwareVersion(SoftwareVersion v);
        Builder &tuning(AgentTuning t);
        Builder &counters(Counters *c);
        std::unique_ptr<AgentCore> build() const;

    private:
        friend class AgentCore;
        VmName m_vm;
        ZoneName m_zone;
        Incarnation m_incarnation{1};
        TargetName m_target;
        SoftwareVersion m_softwareVersion;
        AgentTuning m_tuning;
        Counters *m_counters = nullptr;
    };

    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    // ---- routers ----

    /// Handles a message of a session. The first message of a session must be Hello.
    void message(SessionId session, const ToAgent &message, Time now);
    /// The connection of a session was closed.
    void sessionClosed(SessionId session, Time now);

    // ---- the upstream ----

    /// The upstream sent one token of a streamed answer.
    void upstreamToken(const AttemptKey &key, std::string_view text, Time now);
    /// The streamed answer is complete.
    void upstreamDone(const AttemptKey &key, Time now);
    /// A plain service answered.
    void upstreamAnswer(const AttemptKey &key, unsigned status, std::vector<Header> headers,
                        std::string body, Time now);
    /// The upstream's process exited while it ran this call. Call before upstreamFailed(), which
    /// may drop the record of the call.
    void upstreamExited(const AttemptKey &key, Time now);
    /// The call failed at the upstream; \p outcome says whether it may have run.
    void upstreamFailed(const AttemptKey &key, ErrorKind kind, Outcome outcome,
                        const std::string &reason, Time now);
    /// The upstream refused a call and requested a backoff of \p retryAfter. Call before reporting
    /// the result of the refused call, as that starts the next queued call.
    void upstreamRequestedBackoff(Duration retryAfter, Time now);
    /// Upper bound of a backoff: the agent is not notified when its upstream restarts.
    static constexpr Duration maxBackoff = std::chrono::minutes(1);
    /// The claim requested by MakeClaim completed.
    void claimCompleted(const AttemptKey &key, ClaimResult result, Time now);

    // ---- draining, time and state ----

    /// Refuses new calls and notifies all routers at once. Calls not yet sent to the upstream are
    /// returned to their routers as not run.
    void drain();
    /// Accepts calls again.
    void undrain();
    bool draining() const { return m_draining; }
    /// True when no call is queued or running and no result is waiting to be sent to a router.
    bool idle() const;
    /// Handles time-outs and periodic work; call every few milliseconds.
    void tick(Time now);
    /// Returns the pending actions in order and clears the list.
    std::vector<AgentAction> takeActions();

    /// The load as reported to the router of \p session; without a session,
    /// `recipientRequests` is 0.
    Load load(std::optional<SessionId> session) const;
    /// UDP ports of the routers that requested heartbeats, by session.
    std::vector<std::pair<SessionId, std::uint16_t>> heartbeatPorts() const;
    Incarnation incarnation() const { return m_incarnation; }
    const VmName &vm() const { return m_vm; }
    std::size_t running() const { return m_running; }
    std::size_t queued() const { return m_queue.size(); }

private:
    explicit AgentCore(const Builder &from);

    struct Run;
    struct Session;
    struct RouterMark;
    using RunPtr = std::unique_ptr<Run>;

    // sessions and dispatches (agentcore.cpp)
    void handle(SessionId session, const Hello &message, Time now);
    void handle(SessionId session, const Dispatch &message, Time now);
    void handle(SessionId session, const Cancel &message, Time now);
    void handle(SessionId session, const Credit &message, Time now);
    void handle(SessionId session, const AttemptQuery &message, Time now);
    void handle(SessionId session, const Leaving &message, Time now);
    void detach(SessionId session, Time now);
    void destroySession(SessionId session, const std::string &reason, Time now);
    void refuse(SessionId session, const AttemptKey &key, ErrorKind kind, std::string reason);
    bool replayByKey(SessionId session, const Dispatch &message);
    void enqueue(Run &run);
    void shedQueue();
    void startQueued(Time now);
    bool isResuming(Time now);
    void preemptForQueued(Time now);
    std::map<std::uint8_t, std::vector<Run *>> preemptibleRuns() const;
    void start(Run &run, Time now);
    void applyDrain();
    void markLoadChanged(std::optional<SessionId> session);
    void reportLoad(bool immediately, Time now);
    std::optional<Duration> tightestTokenGapTarget() const;

    // running attempts (agentcore_runs.cpp)
    Run *findRun(const AttemptKey &key);
    void send(const Run &run, ToRouter message);
    void flush(Run &run);
    static AttemptResult makeFailure(const Run &run, ErrorKind kind, const std::string &reason);
    void failRun(Run &run, ErrorKind kind, Outcome outcome, const std::string &reason, Time now);
    void finish(Run &run, AttemptResult result, Time now);
    void refuseRun(Run &run, ErrorKind kind, const std::string &reason);
    void releaseSlot(Run &run);
    void eraseIfSettled(const Run &run);
    void cancel(Run &run, Time now);
    void evictRecord(const RequestId &id);
    void dropExpired(Time now);
    void cancelDetached(Time now);

    VmName m_vm;
    ZoneName m_zone;
    Incarnation m_incarnation;
    TargetName m_target;
    SoftwareVersion m_softwareVersion;
    AgentTuning m_tuning;
    Counters *m_counters;
    std::unique_ptr<Counters> m_ownCounters;
    AdmissionWindow m_window;
    Time m_backoffUntil{}; ///< the upstream gets no calls before
    bool m_isBackingOff = false; ///< as of the last tick or backoff request
    bool m_draining = false; ///< true when either of the two flags below is
    bool m_drainRequested = false; ///< by an operator or a signal
    bool m_leavingInMembership = false; ///< a router reported that the membership list says so

    std::map<SessionId, Session> m_sessions;
    std::unordered_map<RequestId, RunPtr> m_runs;
    std::set<RequestId> m_unsettled; ///< unfinished runs, and those whose result is to be sent
    std::map<std::pair<std::uint8_t, std::uint64_t>, RequestId> m_queue; ///< by tier, then arrival
    std::map<std::pair<AccountName, std::string>, RequestId> m_byKey;
    std::list<RequestId> m_finished; ///< oldest first
    /// By router: the highest sequence whose record was evicted.
    std::unordered_map<std::uint64_t, std::uint64_t> m_evicted;
    bool m_evictedIncomplete = false; ///< an entry of m_evicted was dropped
    std::size_t m_running = 0; ///< attempts that hold a slot of the window
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_upstreamExits = 0; ///< upstream incarnations that exited under a call
    std::optional<Time> m_upstreamExitedAt; ///< when the last exit was detected
    std::uint64_t m_loadSequence = 0;
    Load m_reportedLoad; ///< sent to routers last
    Time m_reportedAt{};
    std::optional<Time> m_lastTickAt;
    Time m_holdUntil{}; ///< no call starts before, as the process has just resumed
    Time m_lastExpiryAt{};
    std::vector<AgentAction> m_actions;
};

} // namespace reachlead

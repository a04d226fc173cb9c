// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The decisions of an agent: the only gate to its upstream.
///
/// The agent is the one place that sees what its upstream really got. So the order of service at
/// the upstream, at-most-once, leaving, and the proof that something was not run are decided here.
/// Pure: no sockets, no threads, no clock of its own. One thread owns it.

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

/// Numbers the sessions of one agent process; never used twice.
enum class SessionId : std::uint64_t { };

/// One attempt of one request.
struct AttemptKey
{
    RequestId id;
    Attempt attempt = 0;

    auto operator<=>(const AttemptKey &) const = default;
};

/// How the claim of an idempotency key ended.
enum class ClaimResult : std::uint8_t {
    Granted, ///< this attempt alone may run
    Taken, ///< another request holds the key
    StoreDown ///< it could not be found out; nothing was run
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
/// Hand the call to the upstream now.
struct StartUpstreamCall
{
    AttemptKey key;
    std::shared_ptr<const Dispatch> dispatch;
};
/// Stop the call at the upstream.
struct CancelUpstreamCall
{
    AttemptKey key;
};
/// Claim the idempotency key before the call leaves.
struct MakeClaim
{
    AttemptKey key;
    AccountName account;
    std::string idempotencyKey;
};
/// The claimed call was proved not to have run: give the key back.
struct ReleaseClaim
{
    AttemptKey key;
    AccountName account;
    std::string idempotencyKey;
};
using AgentAction = std::variant<SendToRouter, CloseSession, StartUpstreamCall, CancelUpstreamCall,
                                 MakeClaim, ReleaseClaim>;

/// The times and bounds of an agent.
struct AgentTuning
{
    AdmissionWindow::Bounds window;
    std::size_t queueBound = 16; ///< requests that may wait at the agent
    Duration reattachGrace = seconds(5); ///< a cut stream runs on for this long
    Duration finishedRetention = seconds(30); ///< records of finished attempts
    Duration answerRetention = seconds(600); ///< answers of calls with an idempotency key
    std::size_t maxFinished = 4096; ///< finished records; the oldest goes first
    std::size_t maxAnswerBytes = 4U << 20U; ///< bytes of one answer
    std::size_t maxRouters = 2048; ///< router incarnations remembered
};

class AgentCore
{
public:
    /// Builds a core step by step.
    class Builder
    {
    public:
        Builder &vm(VmName v);
        Builder &zone(ZoneName z);
        Builder &incarnation(Incarnation i);
        Builder &target(TargetName t);
        Builder &tuning(AgentTuning t);
        Builder &counters(Counters *c);
        std::unique_ptr<AgentCore> build() const;

    private:
        friend class AgentCore;
        VmName m_vm;
        ZoneName m_zone;
        Incarnation m_incarnation{1};
        TargetName m_target;
        AgentTuning m_tuning;
        Counters *m_counters = nullptr;
    };

    ~AgentCore();
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    // ---- routers ----

    /// A message came on a session. The first on a session must be Hello.
    void message(SessionId session, const ToAgent &message, Time now);
    /// A session ended.
    void sessionClosed(SessionId session, Time now);

    // ---- the upstream ----

    /// One token of a streamed answer.
    void upstreamToken(const AttemptKey &key, std::string_view text, Time now);
    /// The streamed answer is whole.
    void upstreamDone(const AttemptKey &key, Time now);
    /// A plain service answered.
    void upstreamAnswer(const AttemptKey &key, unsigned status, std::vector<Header> headers,
                        std::string body, Time now);
    /// The upstream's process is gone, and was found so under this call. Tell this before the
    /// failure of the call, which drops its record.
    void upstreamExited(const AttemptKey &key, Time now);
    /// The upstream failed the call; \p outcome says whether it can have run.
    void upstreamFailed(const AttemptKey &key, ErrorKind kind, Outcome outcome,
                        const std::string &reason, Time now);
    /// The upstream turned a call away and wants none for \p retryAfter. Tell this before the end
    /// of that call, as the next one would start with it.
    void upstreamRequestedBackoff(Duration retryAfter, Time now);
    /// A longer backoff is cut to this: the agent does not hear of its upstream's next life.
    static constexpr Duration maxBackoff = std::chrono::minutes(1);
    /// The claim asked for by MakeClaim ended.
    void claimCompleted(const AttemptKey &key, ClaimResult result, Time now);

    // ---- the rest ----

    /// Refuses new work from now on, and tells every router at once. What has not reached the
    /// upstream yet is given back to its router as not run.
    void drain();
    /// Takes work again.
    void undrain();
    bool draining() const { return m_draining; }
    /// True when nothing waits, runs, or is still to be read by a router.
    bool idle() const;
    /// Does what the passing of time brings; to be called every few milliseconds.
    void tick(Time now);
    /// Takes what is to be done, in order.
    std::vector<AgentAction> takeActions();

    /// The load as told to one router; \p session none: as told to nobody in particular.
    Load load(std::optional<SessionId> session) const;
    /// UDP ports of the routers that want heartbeats, by session.
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
    bool wokeJustNow(Time now);
    void preemptForQueued(Time now);
    std::map<std::uint8_t, std::vector<Run *>> preemptibleRuns() const;
    void start(Run &run, Time now);
    void applyDrain();
    void touch(std::optional<SessionId> session);
    void reportLoad(bool atOnce, Time now);
    std::optional<Duration> tightestTarget() const;

    // running attempts (agentcore_runs.cpp)
    Run *findRun(const AttemptKey &key);
    void send(const Run &run, ToRouter message);
    void flush(Run &run);
    void endFailed(Run &run, ErrorKind kind, Outcome outcome, const std::string &reason, Time now);
    void finish(Run &run, AttemptResult end, Time now);
    void refuseRun(Run &run, ErrorKind kind, const std::string &reason);
    void leaveWindow(Run &run);
    void settle(const Run &run);
    void cancel(Run &run, Time now);
    void forget(const RequestId &id);
    void dropExpired(Time now);
    void endGrace(Time now);

    VmName m_vm;
    ZoneName m_zone;
    Incarnation m_incarnation;
    TargetName m_target;
    AgentTuning m_tuning;
    Counters *m_counters;
    std::unique_ptr<Counters> m_ownCounters;
    AdmissionWindow m_window;
    Time m_backoffUntil{}; ///< the upstream wants no calls before
    bool m_isBackingOff = false; ///< as of the last tick or word of the upstream
    bool m_draining = false; ///< what the two flags below come to
    bool m_toldToDrain = false; ///< by an operator or a signal
    bool m_leavingByList = false; ///< by a router that read the membership list

    std::map<SessionId, Session> m_sessions;
    std::unordered_map<RequestId, RunPtr> m_runs;
    std::set<RequestId> m_unsettled; ///< runs that are not over, or whose end is still to be sent
    std::map<std::pair<std::uint8_t, std::uint64_t>, RequestId> m_queue; ///< by tier, then arrival
    std::map<std::pair<AccountName, std::string>, RequestId> m_byKey;
    std::list<RequestId> m_finished; ///< oldest first
    std::unordered_map<std::uint64_t, std::uint64_t> m_forgotten; ///< by router: highest sequence
    bool m_marksLost = false; ///< some router's mark was dropped
    std::size_t m_running = 0; ///< attempts that hold a place in the window
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_livesEnded = 0; ///< of the upstream
    std::optional<Time> m_endedAt; ///< when a run last ended with the upstream
    std::uint64_t m_loadSequence = 0;
    Load m_told; ///< last load told
    Time m_toldAt{};
    std::optional<Time> m_tickedAt;
    Time m_holdUntil{}; ///< nothing starts before, as the process has just woken
    Time m_forgotAt{};
    std::vector<AgentAction> m_actions;
};

} // namespace reachlead

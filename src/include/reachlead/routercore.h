// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The decisions of a router: who waits, who is sent where, what is retried, what a caller is told.
///
/// Pure: no sockets, no threads, no clock of its own. Events and the time go in through the
/// member functions; what is to be done comes out of takeActions(). One thread owns it.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include <reachlead/accountlimiter.h>
#include <reachlead/circuit.h>
#include <reachlead/counters.h>
#include <reachlead/crashtracker.h>
#include <reachlead/lengthestimate.h>
#include <reachlead/messages.h>
#include <reachlead/placement.h>
#include <reachlead/policy.h>
#include <reachlead/requestlifecycle.h>
#include <reachlead/requestqueue.h>
#include <reachlead/retrybudget.h>

namespace reachlead {

/// A checked request of a caller.
struct CallerRequest
{
    RequestId id;
    AccountName account;
    ClassName cls;
    TargetName target;
    bool isModel = true; ///< answered by a token stream; else a plain service's call
    bool repeatable = true;
    std::string idempotencyKey; ///< empty: none
    Call call;
    std::uint64_t prefixHash = 0; ///< of the first bytes of the prompt; 0: unknown
};

/// What a caller is told.
struct AnswerText
{
    std::string text;
    std::uint64_t tokens = 0;
};
struct ServiceResponse
{
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};
/// The last word on a request. Kind None: the whole answer was given.
struct AnswerResult
{
    ErrorKind kind = ErrorKind::None;
    Outcome outcome = Outcome::NotRun;
    std::string reason;
    std::uint64_t tokens = 0;
};
using CallerEvent = std::variant<AnswerText, ServiceResponse, AnswerResult>;

struct SendToCaller
{
    RequestId id;
    CallerEvent event;
};
struct SendToAgent
{
    VmName agent;
    ToAgent message;
};
/// The agent is silent: its session must be closed and opened anew.
struct DropSession
{
    VmName agent;
    std::string reason;
};
using RouterAction = std::variant<SendToCaller, SendToAgent, DropSession>;

/// The choices that can be exchanged for baselines.
struct RouterStrategy
{
    QueueOrder order = QueueOrder::TieredFair;
    PlacementRule placement = PlacementRule::TwoChoices;
    bool earlyRefusal = true; ///< refuse at arrival what is predicted to be late
    bool dropLate = true; ///< obey `late = drop`
    bool lateBinding = true; ///< send only what the agent has room for
    bool sendTier = true; ///< let agents and engines order by tier
};

/// The times and bounds of a router.
struct RouterTuning
{
    Duration recoveryWait = seconds(5); ///< wait for an agent to come back, then `unknown`
    Duration repeatableWait = milliseconds(500); ///< the same where the request may be repeated
    Duration heartbeatLimit = seconds(3); ///< silence after which a session is given up
    Duration maxOpenTime = seconds(600); ///< bound on a request whose class delivers late
    Duration upstreamWait = seconds(2); ///< queueing while no agent of the target is up
    unsigned maxDispatchAttempts = 8; ///< that failed, or found no room
    unsigned maxPreemptions = 3; ///< of one request; then it keeps its place
    std::uint64_t creditTokens = 256; ///< tokens an agent may be ahead of the caller
    std::size_t maxResumeTextBytes = 1U << 20U; ///< bytes of an answer kept for a resume
};

/// What a router knows of one agent.
struct AgentStatus
{
    VmName name;
    ZoneName zone;
    TargetName target;
    bool up = false;
    bool leaving = false;
    Load load;
    std::size_t localRequests = 0; ///< requests of this router it holds
    std::string circuit;
};

/// A candidate as `route --explain` shows it.
struct RouteCandidate
{
    AgentStatus agent;
    double cost = 0;
    std::string exclusionReason; ///< empty: may be chosen
};

class RouterCore
{
public:
    /// Builds a core step by step.
    class Builder
    {
    public:
        Builder &zone(ZoneName z);
        Builder &incarnation(Incarnation i);
        Builder &strategy(RouterStrategy s);
        Builder &tuning(RouterTuning t);
        Builder &seed(std::uint64_t s);
        Builder &counters(Counters *c);
        Builder &policies(PoliciesPtr p);
        std::unique_ptr<RouterCore> build() const;

    private:
        friend class RouterCore;
        ZoneName m_zone;
        Incarnation m_incarnation{1};
        RouterStrategy m_strategy;
        RouterTuning m_tuning;
        std::uint64_t m_seed = 1;
        Counters *m_counters = nullptr;
        PoliciesPtr m_policies;
    };

    ~RouterCore();
    RouterCore(const RouterCore &) = delete;
    RouterCore &operator=(const RouterCore &) = delete;

    // ---- callers ----

    /// A request arrived. The final word may come at once.
    void submitRequest(CallerRequest request, Time now);
    /// The caller went away; the request is stopped all the way down.
    void callerDisconnected(const RequestId &id, Time now);
    /// The caller took \p tokens of its answer.
    void callerConsumed(const RequestId &id, std::uint64_t tokens);

    // ---- agents ----

    /// A session to an agent stands.
    void agentConnected(const Welcome &welcome, Time now);
    /// A session ended; what it carried is in doubt until the agent is asked.
    void agentDisconnected(const VmName &agent, Time now);
    /// A message came on the agent's present session.
    void agentMessage(const VmName &agent, const ToRouter &message, Time now);
    /// A datagram came from the agent.
    void heartbeat(const Heartbeat &beat, Time now);
    /// The membership list says whether the agent is leaving.
    void setAgentLeaving(const VmName &agent, bool leaving, Time now);
    /// The agent is in no list any more.
    void removeAgent(const VmName &agent, Time now);

    // ---- the rest ----

    void setPolicies(const PoliciesPtr &policies);
    /// This router's part of the accounts' limits.
    void setAccountLimitShare(double part);
    /// Refuses new requests from now on; those accepted go on.
    void stop();
    /// Does what the passing of time brings; to be called every few milliseconds.
    void tick(Time now);

    /// Takes what is to be done, in order.
    std::vector<RouterAction> takeActions();

    /// Requests that have not been told their final word.
    std::size_t openRequests() const { return m_requests.size(); }
    std::size_t queued() const;
    /// Requests of this router that an agent holds.
    std::size_t requestsAt(const VmName &agent) const;
    std::vector<AgentStatus> agents() const;
    /// Why a request for \p target would go where it goes.
    std::vector<RouteCandidate> explain(const TargetName &target, Time now);
    /// The targets some agent serves.
    std::vector<TargetName> targets() const;

private:
    explicit RouterCore(const Builder &from);

    struct Request;
    struct Agent;
    struct Target;
    using RequestPtr = std::unique_ptr<Request>;

    // arrivals and the queue (routercore.cpp)
    ErrorKind refusalAtArrival(const CallerRequest &request, const ClassPolicy &cls, Time now);
    bool predictedLate(const Target &target, const ClassPolicy &cls, Time now) const;
    bool tooLateToStart(const Request &request, const Target &target, Time now);
    void enqueue(Request &request, Time now);
    void pump(Target &target, Time now);
    void pumpAll(Time now);
    bool placeNext(Target &target, Time now);
    void place(Request &request, Agent &agent);
    std::vector<Candidate> candidates(const Target &target, Time now, std::vector<Agent *> *agents);
    Candidate candidateOf(const Agent &agent, double medianGap) const;
    static Agent *agentOfKey(const CallerRequest &ask, const std::vector<Agent *> &agents);
    std::string exclusionReason(Agent &agent, Time now) const;
    bool hasRoom(const Agent &agent, std::optional<Tier> tier) const;
    double medianGap(const Target &target) const;
    void expire(Time now);
    void release(Time now);
    void refuseWithoutUpstream(Time now);
    bool upstreamAway(const Target &target, Time now) const;
    Target &targetOf(const TargetName &name);
    void updateGauges();

    // agents (routercore_agents.cpp)
    void recover(Agent &agent, Time now);
    void doubt(Request &request, Time until);
    void giveUpWaiting(Time now);
    void watchHeartbeats(Time now);
    void takeLoad(Agent &agent, const Load &load);

    // answers (routercore_answers.cpp)
    void handle(Agent &agent, const Refused &message, Time now);
    void handle(Agent &agent, const Started &message, Time now);
    void handle(Agent &agent, const Chunk &message, Time now);
    void handle(Agent &agent, const AttemptResult &message, Time now);
    void handle(Agent &agent, const AttemptQueryReply &message, Time now);
    void handle(Agent &agent, const LoadReport &message, Time now);
    void handle(Agent &agent, const UpstreamCrash &message, Time now);
    void handle(Agent &agent, const Welcome &message, Time now);
    void handle(Agent &agent, const Challenge &message, Time now);
    Request *current(const Agent &agent, const RequestId &id, Attempt attempt);
    void finishWhole(Request &request, const AttemptResult &message, Time now);
    void attemptFailed(Request &request, ErrorKind kind, Outcome outcome, const std::string &reason,
                       Time now);
    ErrorKind retryRefusal(Request &request, ErrorKind kind, Outcome outcome, Time now);
    void putBack(Request &request, ErrorKind kind, Time now);
    void cancelAtAgent(Request &request);
    void unbind(Request &request);
    void finish(Request &request, AnswerResult end, Time now);
    bool apply(Request &request, RequestEvent event);
    void refuse(const RequestId &id, ErrorKind kind, std::string reason);
    bool isQuarantined(const CallerRequest &ask, Time now) const;

    Agent *findAgent(const VmName &name);
    Request *findRequest(const RequestId &id);
    Duration drawPause(unsigned retry);
    LengthEstimate &lengthOf(const ClassName &cls, const AccountName &account);

    ZoneName m_zone;
    Incarnation m_incarnation;
    RouterStrategy m_strategy;
    RouterTuning m_tuning;
    Random m_random;
    Counters *m_counters;
    std::unique_ptr<Counters> m_ownCounters;
    PoliciesPtr m_policies;
    AccountLimiter m_limiter;
    CrashTracker m_crashes; ///< by what all agents tell
    bool m_stopping = false;

    std::unordered_map<RequestId, RequestPtr> m_requests;
    std::map<VmName, std::unique_ptr<Agent>> m_agents;
    std::map<TargetName, std::unique_ptr<Target>> m_targets;
    std::map<ClassName, RetryBudget> m_budgets;
    std::map<std::pair<ClassName, AccountName>, LengthEstimate> m_lengths; ///< for fair charging
    std::map<ClassName, LengthEstimate> m_medianLengths; ///< for what can still be in time
    std::set<std::pair<Time, RequestId>> m_deadlines; ///< next look at each request by time
    std::set<std::pair<Time, RequestId>> m_doubts; ///< ends of waits for agents, by time
    std::set<std::pair<Time, RequestId>> m_delayed; ///< retries that wait out their pause
    std::vector<RouterAction> m_actions;
};

} // namespace reachlead

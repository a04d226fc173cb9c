// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The decision logic of a router: queueing, dispatch to agents, retries, and the results that
/// callers get.
///
/// It is deterministic and uses no sockets, threads or clock. Events and the current time are
/// passed to the member functions; takeActions() returns the actions to carry out. Owned by one
/// thread.

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
#include <reachlead/placement/placement.h>
#include <reachlead/policy.h>
#include <reachlead/requestlifecycle.h>
#include <reachlead/requestqueue.h>
#include <reachlead/retrybudget.h>

namespace reachlead {

/// A validated request of a caller.
struct CallerRequest
{
    RequestId id;
    AccountName account;
    ClassName cls;
    TargetName target;
    bool isModel = true; ///< answered by a token stream; otherwise a call of a plain service
    bool repeatable = true;
    std::string idempotencyKey; ///< empty: none
    Call call;
    std::uint64_t prefixHash = 0; ///< of the first bytes of the prompt; 0: unknown
};

/// A part of a streamed answer.
struct AnswerText
{
    std::string text;
    std::uint64_t tokens = 0;
};
/// The complete answer of a plain service.
struct ServiceResponse
{
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};
/// The final result of a request. ErrorKind::None: the answer is complete.
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
/// The agent is unresponsive: its session is to be closed and reopened.
struct DropSession
{
    VmName agent;
    std::string reason;
};
using RouterAction = std::variant<SendToCaller, SendToAgent, DropSession>;

/// The strategies that benchmarks can replace by baselines.
struct RouterStrategy
{
    QueueOrder order = QueueOrder::TieredFair;
    PlacementRule placement = PlacementRule::TwoChoices;
    /// Refuse requests on arrival that are predicted to miss their first-token target.
    bool earlyRefusal = true;
    bool dropLate = true; ///< honour LatePolicy::Drop
    bool lateBinding = true; ///< dispatch only what the agent has room for
    bool sendTier = true; ///< send the tier, so that agents and engines order by it
};

/// The timeouts and limits of a router.
struct RouterTuning
{
    /// Wait for an agent to reconnect before the outcome is reported as unknown.
    Duration recoveryWait = seconds(5);
    Duration repeatableWait = milliseconds(500); ///< the same for requests that may be repeated
    /// Time without any message after which a session is dropped.
    Duration heartbeatLimit = seconds(3);
    /// Lifetime of a request whose class delivers late answers.
    Duration maxOpenTime = seconds(600);
    /// Time that requests stay queued while no agent of the target is connected.
    Duration upstreamWait = seconds(2);
    /// Including refusals for lack of room, excluding preemptions.
    unsigned maxDispatchAttempts = 8;
    unsigned maxPreemptions = 3; ///< of one request; it is not preempted any more after these
    std::uint64_t creditTokens = 256; ///< tokens that an agent may send ahead of the caller
    std::size_t maxResumeTextBytes = 1U << 20U; ///< of an answer, kept for resuming it
};

/// The state of one agent as known to the router.
struct AgentStatus
{
    VmName name;
    ZoneName zone;
    TargetName target;
    bool up = false;
    bool leaving = false;
    Load load;
    std::size_t localRequests = 0; ///< requests of this router that the agent holds
    std::string circuit;
};

/// A candidate as shown by `route --explain`.
struct RouteCandidate
{
    AgentStatus agent;
    double cost = 0;
    std::string exclusionReason; ///< empty: eligible
};

class RouterCore
{
public:
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

    /// Accepts or refuses a request. The final result may be among the actions at once.
    void submitRequest(CallerRequest request, Time now);
    /// The caller disconnected. The request is cancelled, also at its agent.
    void callerDisconnected(const RequestId &id, Time now);
    /// Refuses new requests, and ends those in progress with an answer: the process is about to
    /// exit.
    void endRequests(Time now);
    /// The caller consumed \p tokens of its answer.
    void callerConsumed(const RequestId &id, std::uint64_t tokens);

    // ---- agents ----

    /// A session to an agent was established.
    void agentConnected(const Welcome &welcome, Time now);
    /// The session to an agent was lost. The outcome of its requests is unknown until the agent can
    /// be queried.
    void agentDisconnected(const VmName &agent, Time now);
    /// A message arrived on the current session to the agent.
    void agentMessage(const VmName &agent, const ToRouter &message, Time now);
    /// A heartbeat datagram of the agent arrived.
    void heartbeat(const Heartbeat &message, Time now);
    /// The membership list reports whether the agent is leaving.
    void setAgentLeaving(const VmName &agent, bool leaving, Time now);
    /// The agent was removed from the membership list.
    void removeAgent(const VmName &agent, Time now);

    // ---- configuration and time ----

    void setPolicies(const PoliciesPtr &policies);
    /// Sets this router's share of the account limits.
    void setAccountLimitShare(double part);
    /// Refuses new requests from now on; accepted requests are completed.
    void stop();
    /// Handles timers and deadlines. To be called every few milliseconds.
    void tick(Time now);

    /// Removes and returns the pending actions, in order.
    std::vector<RouterAction> takeActions();

    /// Number of requests without a final result.
    std::size_t openRequests() const { return m_requests.size(); }
    std::size_t queued() const;
    /// Number of requests of this router that the agent holds.
    std::size_t requestsAt(const VmName &agent) const;
    std::vector<AgentStatus> agents() const;
    /// Explains how a request for \p target would be routed.
    std::vector<RouteCandidate> explain(const TargetName &target, Time now);
    /// The targets that at least one agent serves.
    std::vector<TargetName> targets() const;

private:
    explicit RouterCore(const Builder &from);

    struct Request;
    struct Agent;
    struct Target;
    using RequestPtr = std::unique_ptr<Request>;

    // arrivals and the queue (routercore.cpp)
    ErrorKind checkAdmission(const CallerRequest &request, const ClassPolicy &cls, Time now);
    bool isPredictedLate(const Target &target, const ClassPolicy &cls, Time now) const;
    bool isTooLateToStart(const Request &request, const Target &target, Time now);
    void enqueue(Request &request, Time now);
    void dispatchQueued(Target &target, Time now);
    void dispatchAllQueued(Time now);
    bool keepVersion(Request &request, Target &target, std::vector<Candidate> *eligible,
                     std::vector<Agent *> *agents, Time now);
    bool dispatchNext(Target &target, Time now);
    void dispatch(Request &request, Agent &agent);
    std::vector<Candidate> candidates(const Target &target, Time now, std::vector<Agent *> *agents);
    Candidate makeCandidate(const Agent &agent, double medianTokenGap) const;
    static Agent *agentForKey(const CallerRequest &callerRequest,
                              const std::vector<Agent *> &agents);
    std::string exclusionReason(Agent &agent, Time now) const;
    bool hasRoom(const Agent &agent, std::optional<Tier> tier) const;
    double medianTokenGap(const Target &target) const;
    void expireDeadlines(Time now);
    void requeueDelayed(Time now);
    void refuseWithoutUpstream(Time now);
    bool isUpstreamUnavailable(const Target &target, Time now) const;
    Target &findOrAddTarget(const TargetName &name);
    void updateGauges();

    // agents (routercore_agents.cpp)
    void recoverAttempts(Agent &agent, Time now);
    void awaitRecovery(Request &request, Time until);
    void expireRecoveries(Time now);
    void checkHeartbeats(Time now);
    void updateLoad(Agent &agent, const Load &load);

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
    Request *findCurrentRequest(const Agent &agent, const RequestId &id, Attempt attempt);
    bool isPlausible(const Request &request, const Chunk &message) const;
    static bool matchesReceived(const Request &request, const AttemptResult &message);
    void completeRequest(Request &request, const AttemptResult &message, Time now);
    void attemptFailed(Request &request, ErrorKind kind, Outcome outcome, const std::string &reason,
                       Time now);
    ErrorKind retryRefusal(Request &request, ErrorKind kind, Outcome outcome, Time now);
    void delayDispatch(Request &request, Time retryAt, Time now);
    void requeue(Request &request, ErrorKind kind, Time now);
    void cancelAtAgent(Request &request);
    void unassign(Request &request);
    void finish(Request &request, AnswerResult end, Time now);
    bool apply(Request &request, RequestEvent event);
    void refuse(const RequestId &id, ErrorKind kind, std::string reason);
    bool isQuarantined(const CallerRequest &callerRequest, Time now) const;

    Agent *findAgent(const VmName &name);
    Request *findRequest(const RequestId &id);
    Duration drawRetryDelay(unsigned retry);
    LengthEstimate &lengthEstimate(const ClassName &cls, const AccountName &account);

    ZoneName m_zone;
    Incarnation m_incarnation;
    RouterStrategy m_strategy;
    RouterTuning m_tuning;
    Random m_random;
    Counters *m_counters;
    std::unique_ptr<Counters> m_ownCounters;
    PoliciesPtr m_policies;
    AccountLimiter m_limiter;
    CrashTracker m_crashes; ///< crashes reported by all agents
    bool m_stopping = false;

    std::unordered_map<RequestId, RequestPtr> m_requests;
    std::map<VmName, std::unique_ptr<Agent>> m_agents;
    std::map<TargetName, std::unique_ptr<Target>> m_targets;
    std::map<ClassName, RetryBudget> m_budgets;
    /// Estimated answer lengths, to charge accounts fairly at dispatch.
    std::map<std::pair<ClassName, AccountName>, LengthEstimate> m_lengthEstimates;
    /// Median answer lengths, to detect requests that cannot meet their deadline any more.
    std::map<ClassName, LengthEstimate> m_medianLengthEstimates;
    std::set<std::pair<Time, RequestId>> m_deadlines; ///< next deadline check of each request
    /// Ends of the waits for agents to reconnect.
    std::set<std::pair<Time, RequestId>> m_recoveryDeadlines;
    /// Retries that wait for their backoff to pass.
    std::set<std::pair<Time, RequestId>> m_delayedRetries;
    std::vector<RouterAction> m_actions;
};

} // namespace reachlead

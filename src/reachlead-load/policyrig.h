// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The real decision logic of routers and agents around small fake upstreams, on a clock of its
/// own: for tests of faults and for measuring the policy. Deterministic by seed.
///
/// Only what stands at the interfaces is fake: the upstreams, the platform's objects, and the
/// delivery of messages. The fakes keep the records that the invariants are checked against.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <reachlead/agentcore.h>
#include <reachlead/claimtable.h>
#include <reachlead/routercore.h>

#include "reachlead-standin/answer.h"

namespace reachlead::rig {

/// How a fake upstream behaves.
struct UpstreamSpeed
{
    Duration step = milliseconds(20); ///< time between tokens at a batch of one
    Duration stepPerRequest = milliseconds(1); ///< added for each request more
    Duration prefill = milliseconds(50); ///< before the first token
    Duration service = milliseconds(60); ///< a plain service's whole call
};

/// What became of one request, seen from its caller.
struct CallerRecord
{
    CallerRequest ask;
    standin::AnswerPlan plan;
    Time arrived{};
    std::optional<Time> firstAt;
    Time lastAt{};
    std::string text;
    std::uint64_t tokens = 0;
    bool whole = false; ///< a plain service's answer came
    std::vector<AnswerResult> ends; ///< exactly one when all went well
    Time endedAt{};
    bool hungUp = false;
};

/// One start of a call at an upstream.
struct UpstreamStart
{
    VmName agent;
    Attempt attempt = 0;
    Time at{};
    bool ran = false; ///< a service did its work; an engine made a token
};

class Rig
{
public:
    explicit Rig(std::uint64_t seed, PoliciesPtr policies);
    ~Rig();

    // ---- building ----

    void addRouter(const std::string &name, const std::string &zone, RouterStrategy strategy = {},
                   RouterTuning tuning = {});
    void addAgent(const std::string &name, const std::string &zone, const TargetName &target,
                  AgentTuning tuning = {}, UpstreamSpeed speed = {});

    // ---- driving ----

    /// Sends a request now; its record is kept under the id.
    RequestId send(const std::string &router, CallerRequest ask);
    void hangUp(const RequestId &id);
    void run(Duration length);
    /// Runs event by event until \p done holds, at most \p most; false when it never did.
    bool runUntil(const std::function<bool()> &done, Duration most);
    /// Runs until every request has its final word, at most \p most.
    void settle(Duration most);
    /// Calls \p action when the time comes.
    void at(Time time, std::function<void()> action);
    Time now() const { return m_now; }

    // ---- faults ----

    void cutSession(const std::string &router, const std::string &agent);
    /// The next messages on this link stay in an old socket: they are handed to the agent after
    /// the session that replaces it has greeted.
    void holdMessages(const std::string &router, const std::string &agent);
    void partition(const std::string &router, const std::string &agent, bool parted);
    void killRouter(const std::string &router);
    void restartAgent(const std::string &agent);
    /// The agent's process stands still for \p length; its upstream goes on.
    void pauseAgent(const std::string &agent, Duration length);
    void drainAgent(const std::string &agent);
    /// The membership list tells one router that the agent is leaving.
    void memberLeaving(const std::string &router, const std::string &agent);
    void slowUpstream(const std::string &agent, double factor);
    void crashUpstream(const std::string &agent, Duration downFor);
    void stallUpstream(const std::string &agent, bool stalled);
    void muteHeartbeats(const std::string &agent, bool muted);
    /// Each upstream that begins a call with this body ends; it is back after \p downFor.
    void endUpstreamsBy(const std::string &body, Duration downFor);

    // ---- the fake platform ----

    struct PlatformFaults
    {
        bool down = false;
        unsigned loseReplies = 0; ///< the next so many writes take effect without an answer
        Duration delay = milliseconds(3);
        unsigned staleReads = 0; ///< the next so many reads see the store before its last write
    };
    PlatformFaults platformFaults;
    std::uint64_t platformWrites = 0;

    // ---- records ----

    std::map<RequestId, CallerRecord> callers;
    std::map<RequestId, std::vector<UpstreamStart>> starts;
    std::map<std::pair<AccountName, std::string>, unsigned> runsByKey;
    std::map<VmName, Time> drainedAt;
    std::uint64_t tokensMade = 0;
    std::vector<Time> upstreamEnds; ///< by a call's content
    Counters counters;

    RouterCore &router(const std::string &name);
    AgentCore &agent(const std::string &name);

    /// The first promise that the records show broken; empty when all hold.
    std::string brokenPromise() const;

private:
    struct Event
    {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct RouterBox;
    struct AgentBox;
    struct Link;
    struct Call;

    void connect(RouterBox &router, AgentBox &agent);
    void later(Duration delay, std::function<void()> action);
    void toAgent(AgentBox &agent, std::function<void()> action);
    void drain(RouterBox &router);
    void drain(AgentBox &agent);
    void perform(RouterBox &router, RouterAction &action);
    void perform(AgentBox &agent, AgentAction &action);
    void tell(const SendToCaller &told);
    void startCall(AgentBox &agent, const StartUpstreamCall &start);
    void endBy(AgentBox &agent, const AttemptKey &key);
    void nextToken(AgentBox &agent, const AttemptKey &key, std::uint64_t incarnation);
    void serve(AgentBox &agent, const AttemptKey &key, std::uint64_t incarnation);
    void claims(AgentBox &agent);
    void callPlatform(AgentBox &agent, ClaimAction action);
    PlatformReply readStore(const std::string &prefix);
    PlatformReply writeStore(const WriteSlot &write);
    void tickAll();
    Link &link(const std::string &router, const std::string &agent);
    std::string brokenBy(const RequestId &id, const CallerRecord &record) const;

    static constexpr Duration hop = std::chrono::microseconds(500);
    static constexpr Duration tickInterval = milliseconds(5);

    Time m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_sessions = 0;
    Random m_random;
    PoliciesPtr m_policies;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::map<std::string, std::unique_ptr<RouterBox>> m_routers;
    std::map<std::string, std::unique_ptr<AgentBox>> m_agents;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> m_links;
    std::map<std::string, PlatformObject> m_store;
    std::map<std::string, PlatformObject> m_storeBefore; ///< before the last write
    std::uint64_t m_storeVersion = 0;
    std::string m_endingBody; ///< empty: none
    Duration m_endedFor{};
};

/// A model request whose prompt decides its answer; `tokens` of them.
CallerRequest modelRequest(const std::string &account, const std::string &cls,
                           const std::string &model, std::uint64_t tokens, std::uint64_t salt);

/// A plain service's call that may not be repeated; \p key empty: without idempotency key.
CallerRequest serviceCall(const std::string &account, const std::string &cls,
                          const std::string &service, const std::string &key);

} // namespace reachlead::rig

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Every fault at every step of a request, on the real decision logic with a clock of its own.

#include <iostream>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "reachlead-load/policyrig.h"

namespace reachlead::rig {

namespace {

/// Where a request is when the fault comes.
enum class Step : std::uint8_t {
    Accepted,
    Queued,
    Bound,
    Sent,
    Claimed,
    CallRunning,
    CallRan,
    KeyedRan,
    Running,
    FirstToken,
    MidStream,
    EndFrame,
    Told,
    Size
};

constexpr std::array<std::string_view, static_cast<std::size_t>(Step::Size)> stepNames{
    "accepted",  "queued",  "bound",       "sent",       "claimed",   "call-running", "call-ran",
    "keyed-ran", "running", "first-token", "mid-stream", "end-frame", "told"};

/// The requests a cell watches.
struct Probes
{
    RequestId stream;
    RequestId call; ///< not repeatable, without key
    RequestId keyed; ///< not repeatable, with key
};

struct Cell
{
    Rig &rig;
    Probes probes;
    std::string engine; ///< agent that holds the stream, or the first
    std::string service; ///< agent that holds the keyed call, or the first
};

struct Fault
{
    std::string_view name;
    void (*strike)(Cell &);
};

constexpr std::uint64_t streamTokens = 40;
constexpr const char *router = "r1";
constexpr std::array<const char *, 5> allAgents{"e1", "e2", "e3", "s1", "s2"};

void burst(Cell &c)
{
    for (std::uint64_t n = 0; n < 400; ++n)
        c.rig.send("r2", modelRequest("flood", n % 2 == 0 ? "low" : "mid", "m", 30, 10000 + n));
}

void straggler(Cell &c)
{
    c.rig.slowUpstream(c.engine, 10);
}

void engineCrash(Cell &c)
{
    c.rig.crashUpstream(c.engine, seconds(5));
}

void serviceCrash(Cell &c)
{
    c.rig.crashUpstream(c.service, seconds(5));
}

void engineStall(Cell &c)
{
    c.rig.stallUpstream(c.engine, true);
    Rig &rig = c.rig;
    rig.at(rig.now() + seconds(3), [&rig, engine = c.engine] { rig.stallUpstream(engine, false); });
}

void noLoadReports(Cell &c)
{
    c.rig.muteHeartbeats(c.engine, true);
    c.rig.muteHeartbeats(c.service, true);
}

void storeDown(Cell &c)
{
    Rig &rig = c.rig;
    rig.platformFaults.down = true;
    rig.at(rig.now() + seconds(30), [&rig] { rig.platformFaults.down = false; });
}

void storeSlow(Cell &c)
{
    c.rig.platformFaults.delay = milliseconds(1500);
}

void storeStale(Cell &c)
{
    c.rig.platformFaults.staleReads = 3;
}

void storeReplyLost(Cell &c)
{
    c.rig.platformFaults.loseReplies = 2;
}

void agentPaused(Cell &c)
{
    c.rig.pauseAgent(c.engine, seconds(4));
    c.rig.pauseAgent(c.service, seconds(4));
}

void agentRestarted(Cell &c)
{
    c.rig.restartAgent(c.engine);
    c.rig.restartAgent(c.service);
}

void agentLost(Cell &c)
{
    for (const char *r : {"r1", "r2"}) {
        for (const std::string &agent : {c.engine, c.service}) {
            c.rig.partition(r, agent, true);
            c.rig.cutSession(r, agent);
        }
    }
}

void routerLost(Cell &c)
{
    c.rig.killRouter(router);
}

void sessionCut(Cell &c)
{
    c.rig.cutSession(router, c.engine);
    c.rig.cutSession(router, c.service);
}

/// What is on its way to the agents stays in sockets that are then replaced.
void lateFrames(Cell &c)
{
    Rig &rig = c.rig;
    for (const char *agent : allAgents)
        rig.holdMessages(router, agent);
    rig.at(rig.now() + milliseconds(2), [&rig] {
        for (const char *agent : allAgents)
            rig.cutSession(router, agent);
    });
}

void partitioned(Cell &c)
{
    Rig &rig = c.rig;
    rig.partition(router, c.engine, true);
    rig.at(rig.now() + seconds(6),
           [&rig, engine = c.engine] { rig.partition(router, engine, false); });
}

void leaving(Cell &c)
{
    c.rig.drainAgent(c.engine);
    c.rig.drainAgent(c.service);
}

/// The router is told by the list alone; the agent does not know yet.
void leavingByList(Cell &c)
{
    c.rig.drainedAt[VmName(c.engine)] = c.rig.now();
    for (const char *r : {"r1", "r2"})
        c.rig.memberLeaving(r, c.engine);
}

void callerGone(Cell &c)
{
    c.rig.hangUp(c.probes.stream);
    c.rig.hangUp(c.probes.call);
    c.rig.hangUp(c.probes.keyed);
}

void doubledDatagrams(Cell &c)
{
    const Heartbeat old{
        protocolVersion, VmName(c.engine), c.rig.agent(c.engine).incarnation(), 1, {}, ""};
    for (unsigned n = 0; n < 3; ++n)
        c.rig.router(router).heartbeat(old, c.rig.now());
}

void repeatedKey(Cell &c)
{
    c.rig.send("r2", serviceCall("depot", "top", "yard", "key-1"));
}

constexpr std::array<Fault, 23> faults{{{"burst", burst},
                                        {"straggler", straggler},
                                        {"engine-crash", engineCrash},
                                        {"service-crash", serviceCrash},
                                        {"engine-stall", engineStall},
                                        {"no-load-reports", noLoadReports},
                                        {"store-down", storeDown},
                                        {"store-slow", storeSlow},
                                        {"store-stale", storeStale},
                                        {"store-reply-lost", storeReplyLost},
                                        {"agent-paused", agentPaused},
                                        {"agent-restarted", agentRestarted},
                                        {"agent-lost", agentLost},
                                        {"router-lost", routerLost},
                                        {"session-cut", sessionCut},
                                        {"late-frames", lateFrames},
                                        {"partitioned", partitioned},
                                        {"leaving", leaving},
                                        {"leaving-by-list", leavingByList},
                                        {"caller-gone", callerGone},
                                        {"doubled-datagrams", doubledDatagrams},
                                        {"repeated-key", repeatedKey},
                                        {"agents-paused-and-cut", [](Cell &c) {
                                             agentPaused(c);
                                             sessionCut(c);
                                         }}}};

PoliciesPtr policies()
{
    auto made = std::make_shared<Policies>();
    const auto add = [&](const char *name, std::uint8_t tier, LatePolicy late) {
        ClassPolicy cls;
        cls.name = ClassName(name);
        cls.tier = Tier{tier};
        cls.late = late;
        cls.floor = 0.05;
        cls.deadline = seconds(20);
        made->classes[cls.name] = cls;
    };
    add("top", 0, LatePolicy::Deliver);
    add("mid", 2, LatePolicy::Drop);
    add("low", 4, LatePolicy::Deliver);
    return made;
}

bool hasStarted(const Rig &rig, const RequestId &id)
{
    const auto it = rig.starts.find(id);
    return it != rig.starts.end() && !it->second.empty();
}

bool hasRun(const Rig &rig, const RequestId &id)
{
    return hasStarted(rig, id) && rig.starts.at(id).back().ran;
}

bool reached(const Rig &rig, const Probes &probes, Step step, Time sentAt)
{
    const CallerRecord &stream = rig.callers.at(probes.stream);
    switch (step) {
    case Step::Accepted:
    case Step::Bound:
        return true;
    case Step::Queued:
        return rig.now() > sentAt + milliseconds(8);
    case Step::Sent:
        return rig.now() >= sentAt + std::chrono::microseconds(600);
    case Step::Claimed:
        return rig.platformWrites > 0;
    case Step::CallRunning:
        return hasStarted(rig, probes.call);
    case Step::CallRan:
        return hasRun(rig, probes.call);
    case Step::KeyedRan:
        return hasRun(rig, probes.keyed);
    case Step::Running:
        return hasStarted(rig, probes.stream);
    case Step::FirstToken:
        return stream.firstAt.has_value();
    case Step::MidStream:
        return stream.tokens >= streamTokens / 2;
    case Step::EndFrame:
        return stream.tokens >= streamTokens - 1;
    case Step::Told:
        return !stream.ends.empty();
    case Step::Size:
        break;
    }
    return true;
}

std::string agentOf(const Rig &rig, const RequestId &id, const std::string &otherwise)
{
    const auto it = rig.starts.find(id);
    return it == rig.starts.end() || it->second.empty() ? otherwise : it->second.back().agent.text;
}

/// Runs one cell; the promise that broke, or nothing.
std::string runCell(std::uint64_t seed, Step step, std::span<const Fault *const> strikes)
{
    Rig rig(seed, policies());
    AgentTuning tuning;
    tuning.window = {1, 8, 4};
    for (const char *name : {"e1", "e2", "e3"})
        rig.addAgent(name, "z1", modelTarget("m"), tuning);
    for (const char *name : {"s1", "s2"})
        rig.addAgent(name, "z1", serviceTarget("yard"), tuning);
    rig.addRouter("r1", "z1");
    rig.addRouter("r2", "z2");
    rig.run(seconds(1));
    // Some work of others; enough that the probe waits where the step is the queue.
    const std::uint64_t others = step == Step::Queued ? 60 : 4;
    for (std::uint64_t n = 0; n < others; ++n)
        rig.send(n % 2 == 0 ? "r1" : "r2", modelRequest("other", "top", "m", 20, n));
    const Time sentAt = rig.now();
    Probes probes;
    probes.stream = rig.send(router, modelRequest("depot", "top", "m", streamTokens, 777));
    probes.call = rig.send(router, serviceCall("depot", "top", "yard", ""));
    probes.keyed = rig.send(router, serviceCall("depot", "top", "yard", "key-1"));
    if (!rig.runUntil([&] { return reached(rig, probes, step, sentAt); }, seconds(30)))
        return "the step was not reached";
    const bool onCall = step == Step::CallRunning || step == Step::CallRan;
    const RequestId &struck = onCall ? probes.call : probes.keyed;
    Cell cell{rig, probes, agentOf(rig, probes.stream, "e1"), agentOf(rig, struck, "s1")};
    for (const Fault *fault : strikes)
        fault->strike(cell);
    // A caller that heard nothing, or `not-run`, tries the same key again.
    rig.at(rig.now() + seconds(7),
           [&rig] { rig.send("r2", serviceCall("depot", "top", "yard", "key-1")); });
    rig.run(seconds(8));
    rig.settle(seconds(120));
    return rig.brokenPromise();
}

constexpr std::uint64_t firstSeed = 4242;

} // namespace

class FaultMatrixTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultMatrixTest);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(pairsOfFaults);
    CPPUNIT_TEST_SUITE_END();

    void everyFaultAtEveryStep()
    {
        unsigned cells = 0;
        std::string broken;
        for (const Fault &fault : faults) {
            for (std::size_t n = 0; n < stepNames.size(); ++n) {
                const Fault *strikes[] = {&fault};
                const std::string word =
                    runCell(firstSeed + cells++, static_cast<Step>(n), strikes);
                if (!word.empty())
                    broken += fmt::format("\n{} at {}: {}", fault.name, stepNames[n], word);
            }
        }
        std::cout << " [" << cells << " cells from seed " << firstSeed << "]";
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }

    void pairsOfFaults()
    {
        constexpr unsigned pairs = 400;
        constexpr std::uint64_t seed = 20261202;
        Random random(seed);
        std::uniform_int_distribution<std::size_t> anyFault(0, faults.size() - 1);
        std::uniform_int_distribution<std::size_t> anyStep(0, stepNames.size() - 1);
        std::string broken;
        for (unsigned n = 0; n < pairs; ++n) {
            const Fault &one = faults[anyFault(random)];
            const Fault &two = faults[anyFault(random)];
            const auto step = anyStep(random);
            const Fault *strikes[] = {&one, &two};
            const std::string word = runCell(random(), static_cast<Step>(step), strikes);
            if (!word.empty())
                broken +=
                    fmt::format("\n{} and {} at {}: {}", one.name, two.name, stepNames[step], word);
        }
        std::cout << " [" << pairs << " pairs, seed " << seed << "]";
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

} // namespace reachlead::rig

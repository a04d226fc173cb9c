// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-load/policybench.h"

#include <chrono>
#include <fstream>
#include <map>
#include <stdexcept>

#include <fmt/format.h>

#include <reachlead/requestqueue.h>

#include "reachlead-load/measure.h"
#include "reachlead-load/scenario.h"

namespace reachlead::bench {

namespace {

struct Strategy
{
    std::string_view name;
    RouterStrategy router;
    bool steeredWindow = true; ///< else the engine's whole batch, and a queue without bound
};

constexpr std::array<Strategy, 4> strategies{
    {{"reachlead", {}, true},
     {"fifo-round-robin",
      {QueueOrder::Fifo, PlacementRule::RoundRobin, false, false, false, false},
      false},
     {"fifo-least-loaded",
      {QueueOrder::Fifo, PlacementRule::LeastUsed, false, false, false, false},
      false},
     {"strict-no-floors",
      {QueueOrder::StrictTier, PlacementRule::TwoChoices, true, true, true, true},
      true}}};

/// What one run came to, all as parts of one unless named otherwise.
struct Result
{
    std::map<std::string, double> attainment; ///< by class
    std::map<std::string, double> served; ///< whole answers by class, of those that arrived
    double goodTokens = 0; ///< tokens of whole answers in time, per second
    double bound = 0; ///< of the tokens that the engines could have made in time
    double wasted = 0;
    double worstAccount = 1; ///< lowest attainment of the top class over accounts
    std::map<std::string, std::uint64_t> refused;
    std::string broken;
};

bool inTime(const CallerRequest &ask, const rig::CallerRecord &record, const ClassPolicy &cls)
{
    return ask.isModel && record.ends.size() == 1 && record.ends[0].kind == ErrorKind::None
        && record.endedAt <= record.arrived + cls.deadline;
}

bool attained(const rig::CallerRecord &record, const ClassPolicy &cls)
{
    if (!inTime(record.ask, record, cls) || !record.firstAt)
        return false;
    if (*record.firstAt - record.arrived > cls.firstTokenTarget)
        return false;
    if (record.tokens < 2)
        return true;
    const auto gaps = static_cast<Duration::rep>(record.tokens - 1);
    return (record.lastAt - *record.firstAt) / gaps <= cls.interTokenTarget;
}

void strike(rig::Rig &rig, const std::string &fault)
{
    const Time start = rig.now();
    if (fault == "straggler") {
        rig.at(start + seconds(1), [&rig] { rig.slowUpstream("e1", 5); });
    } else if (fault == "crash") {
        rig.at(start + seconds(3), [&rig] { rig.crashUpstream("e1", seconds(10)); });
    } else if (fault == "outage") {
        rig.at(start + seconds(1), [&rig] { rig.platformFaults.down = true; });
        rig.at(start + seconds(31), [&rig] { rig.platformFaults.down = false; });
    } else if (fault != "none") {
        throw std::runtime_error("--fault: expected none, straggler, crash or outage, found "
                                 + fault);
    }
}

std::unique_ptr<rig::Rig> runScenario(const Scenario &scenario, const Strategy &strategy,
                                      const std::string &fault, std::uint64_t seed)
{
    auto rig = std::make_unique<rig::Rig>(seed, scenario.policies);
    AgentTuning tuning;
    tuning.window = {1, 256, 24};
    if (!strategy.steeredWindow) {
        tuning.window = {64, 64, 64};
        tuning.queueBound = 1'000'000;
    }
    for (unsigned n = 1; n <= scenario.engines; ++n) {
        rig->addAgent(fmt::format("e{}", n), n % 2 == 0 ? "z2" : "z1", modelTarget("m"), tuning);
    }
    rig->addAgent("s1", "z1", serviceTarget("app"));
    rig->addRouter("r1", "z1", strategy.router);
    rig->addRouter("r2", "z2", strategy.router);
    rig->run(seconds(1));
    strike(*rig, fault);
    const Time start = rig->now();
    for (const Arrival &arrival : scenario.arrivals) {
        rig::Rig &target = *rig;
        rig->at(start + arrival.at,
                [&target, &arrival] { target.send(arrival.router, arrival.ask); });
    }
    rig->run(scenario.length);
    rig->settle(seconds(1200)); // the baselines queue without bound
    return rig;
}

Result measure(const Scenario &scenario, const rig::Rig &rig)
{
    Result result;
    std::map<std::string, std::pair<double, double>> byClass; // attained, arrived
    std::map<std::string, std::pair<double, double>> byAccount;
    double good = 0;
    double goodBurst = 0;
    for (const auto &[id, record] : rig.callers) {
        if (!record.ask.isModel)
            continue;
        const ClassPolicy &cls = *scenario.policies->findClass(record.ask.cls);
        const double hit = attained(record, cls) ? 1 : 0;
        const std::string &name = record.ask.cls.text;
        auto &[classHits, classAll] = byClass[name];
        if (record.ask.account != AccountName("flood")) {
            classHits += hit;
            ++classAll;
        }
        if (inTime(record.ask, record, cls)) {
            good += static_cast<double>(record.tokens);
            result.served[name] += 1;
            if (name == scenario.burstClass || name == scenario.topClass)
                goodBurst += static_cast<double>(record.tokens);
        }
        if (name == scenario.topClass && record.ask.account != AccountName("flood")) {
            auto &[hits, all] = byAccount[record.ask.account.text];
            hits += hit;
            ++all;
        }
        for (const AnswerResult &end : record.ends) {
            if (end.kind != ErrorKind::None)
                ++result.refused[std::string(errorRow(end.kind).name)];
        }
    }
    for (const auto &[name, counts] : byClass) {
        result.attainment[name] = counts.first / counts.second;
        result.served[name] /= counts.second;
    }
    for (const auto &[name, counts] : byAccount)
        result.worstAccount = std::min(result.worstAccount, counts.first / counts.second);
    const auto made = static_cast<double>(rig.tokensMade);
    result.goodTokens = good / toSeconds(scenario.length);
    result.bound = goodBurst / std::min(scenario.capacityTokens, scenario.burstTokens);
    result.wasted = made > 0 ? (made - good) / made : 0;
    result.broken = rig.brokenPromise();
    return result;
}

/// The median over seeds of one number of the results.
template <class Get> double median(std::vector<Result> &results, Get get)
{
    Sample sample;
    for (Result &result : results)
        sample.add(get(result));
    return sample.median();
}

Scenario makeScenario(const std::string &name, std::uint64_t seed, bool flood)
{
    if (name == "morning-returns")
        return morningReturns(seed, flood);
    if (name == "race-start")
        return raceStart(seed, flood);
    throw std::runtime_error("--scenario: expected morning-returns or race-start, found " + name);
}

std::string row(const Strategy &strategy, std::vector<Result> &results, std::string *csv,
                const PolicyPlan &plan)
{
    std::string classes;
    for (const auto &[name, ignored] : results.front().attainment) {
        const double value = median(results, [&](Result &r) { return r.attainment[name]; });
        const double served = median(results, [&](Result &r) { return r.served[name]; });
        classes += fmt::format(" {}={:.1f}%/{:.1f}%", name, 100 * value, 100 * served);
        *csv += fmt::format("{},{},{},attainment-{},{:.5f}\n", plan.scenario, plan.fault,
                            strategy.name, name, value);
    }
    const double good = median(results, [](Result &r) { return r.goodTokens; });
    const double bound = median(results, [](Result &r) { return r.bound; });
    const double wasted = median(results, [](Result &r) { return r.wasted; });
    const double worst = median(results, [](Result &r) { return r.worstAccount; });
    *csv += fmt::format("{0},{1},{2},good-tokens-per-s,{3:.1f}\n{0},{1},{2},wasted,{4:.5f}\n"
                        "{0},{1},{2},worst-account,{5:.5f}\n",
                        plan.scenario, plan.fault, strategy.name, good, wasted, worst);
    std::string refused;
    for (const auto &[kind, n] : results.front().refused)
        refused += fmt::format(" {}={}", kind, n);
    std::string broken;
    for (const Result &result : results) {
        if (!result.broken.empty())
            broken = fmt::format("\n  BROKEN PROMISE: {}", result.broken);
    }
    return fmt::format(
        "{:18} good={:7.0f} tok/s top+burst/bound={:5.1f}% wasted={:4.1f}% "
        "worst-account={:5.1f}%\n  attained/served:{}\n  refused (first seed):{}{}\n",
        strategy.name, good, 100 * bound, 100 * wasted, 100 * worst, classes, refused, broken);
}

} // namespace

std::string runPolicyBench(const PolicyPlan &plan)
{
    std::string csv = "scenario,fault,strategy,measure,median\n";
    std::string report =
        fmt::format("scenario={} fault={} flood={} seeds={}..{}\n", plan.scenario, plan.fault,
                    plan.flood, plan.firstSeed, plan.firstSeed + plan.seeds - 1);
    for (const Strategy &strategy : strategies) {
        std::vector<Result> results;
        for (unsigned n = 0; n < plan.seeds; ++n) {
            const std::uint64_t seed = plan.firstSeed + n;
            const Scenario scenario = makeScenario(plan.scenario, seed, plan.flood);
            const auto rig = runScenario(scenario, strategy, plan.fault, seed);
            results.push_back(measure(scenario, *rig));
        }
        report += row(strategy, results, &csv, plan);
    }
    if (!plan.csv.empty()) {
        std::ofstream out(plan.csv, std::ios::app);
        out << csv;
    }
    return report;
}

std::string runCostBench()
{
    constexpr unsigned perAccount = 10;
    constexpr unsigned rounds = 20000;
    std::string report = "accounts  push+pop median us (of batches of 100)\n";
    for (const unsigned accounts : {10U, 100U, 1600U}) {
        auto policies = std::make_shared<Policies>();
        policies->queueLimit = 1'000'000;
        for (std::uint8_t tier = 0; tier < tierCount; ++tier) {
            ClassPolicy cls;
            cls.name = ClassName(fmt::format("tier-{}", tier));
            cls.tier = Tier{tier};
            cls.queueBound = policies->queueLimit;
            policies->classes[cls.name] = cls;
        }
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, policies);
        std::uint64_t n = 0;
        const auto make = [&] {
            ++n;
            return QueuedRequest{RequestId{Incarnation{1}, n},
                                 ClassName(fmt::format("tier-{}", n % tierCount)),
                                 AccountName(fmt::format("account-{}", n % accounts)),
                                 Time(seconds(n % 97)), 10.0 + static_cast<double>(n % 50)};
        };
        for (unsigned k = 0; k < accounts * perAccount; ++k)
            queue->push(make());
        Sample sample;
        constexpr unsigned batch = 100;
        for (unsigned k = 0; k < rounds / batch; ++k) {
            std::vector<QueuedRequest> next;
            next.reserve(batch);
            for (unsigned i = 0; i < batch; ++i)
                next.push_back(make());
            const auto begin = std::chrono::steady_clock::now();
            for (const QueuedRequest &request : next) {
                queue->push(request);
                queue->pop();
            }
            const auto spent = std::chrono::steady_clock::now() - begin;
            sample.add(std::chrono::duration<double, std::micro>(spent).count() / batch);
        }
        report += fmt::format("{:8}  {:.2f}\n", accounts, sample.median());
    }
    return report;
}

} // namespace reachlead::bench

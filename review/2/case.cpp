// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The store acknowledges a change of the desired state and is then silent for a tenth of a second.
/// Checks CONFIG: once it has been stable for stableWindowMs, requests are handled as the newest
/// desired state says.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include "../support/support.h"

namespace {

using namespace review;

constexpr int drainMs = 2000;
constexpr int configMs = 2000;
constexpr int stableWindowMs = 3000;

constexpr int defaultSilenceMs = 100; ///< SILENCE_MS in the environment sets another time
constexpr int observedMs = 9000; ///< after the lost change

/// Version 2 changes a time-out. Version 3 moves the route to another service and drops a key.
std::string config(int version)
{
    const bool isMoved = version >= 3;
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"book","host":"h.example","pathPrefix":"/book/","routeType":"unsafe","service":")"
        + (isMoved ? "new" : "old") + R"(","maxAttempts":1,"timeoutMs":)"
        + (version == 1 ? "1500" : "1400") + R"(,"targetLatencyMs":150,"priority":0}],
"services":[{"name":"old","healthPath":"/health","maxConns":100},{"name":"new","healthPath":"/health","maxConns":100}],
"tenants":[{"name":"t","apiKeys":["key-1"]},{"name":"u","apiKeys":[)"
        + (isMoved ? "" : "\"key-2\"") + R"(]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// Whether the store falls silent to gateway \p number: to all unless QUIET in the environment
/// lists some.
bool isConcerned(int number)
{
    const char *quiet = std::getenv("QUIET");
    return quiet == nullptr || std::string(quiet).find(std::to_string(number)) != std::string::npos;
}

int run(const Arguments &arguments)
{
    Record record(arguments.record);
    record.line(arguments.hasTrouble ? "with a silence of the store"
                                     : "TROUBLE=0: without a silence of the store");
    Store store(record);
    Arrivals arrivals;
    Replica oldOne(record, arrivals, "i-old-1", "old", 20);
    Replica oldTwo(record, arrivals, "i-old-2", "old", 20);
    Replica newOne(record, arrivals, "i-new-1", "new", 20);
    Replica newTwo(record, arrivals, "i-new-2", "new", 20);
    store.put("config", "main", config(1));
    for (Replica *it : {&oldOne, &oldTwo, &newOne, &newTwo})
        it->registerAt(store, "ready");

    const int port = findFreePorts(5);
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Gateway *> all;
    for (int n = 0; n < 3; ++n) {
        Gateway::Settings settings;
        settings.program = arguments.program;
        settings.folder = arguments.folder;
        settings.name = "front-z1-" + std::to_string(n + 1);
        settings.ip = "127.0.0." + std::to_string(n + 2);
        settings.frontPort = port;
        settings.peerPort = port + 3;
        settings.storePort = isConcerned(n + 1) ? store.port() : store.otherPort();
        settings.seeds = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
        settings.configMs = configMs;
        settings.drainMs = drainMs;
        gateways.push_back(std::make_unique<Gateway>(settings));
        gateways.back()->start();
        all.push_back(gateways.back().get());
    }
    if (!waitUntilReady(all, 20'000)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    Client::Options known;
    known.method = "POST";
    known.path = "/book/1";
    known.intervalMs = 40;
    Client::Options dropped = known;
    dropped.key = "key-2";
    Client client(record, all, known);
    Client droppedClient(record, all, dropped);

    sleepMs(stableWindowMs + 2000);
    store.put("config", "main", config(2));
    sleepMs(500);
    const char *variable = std::getenv("SILENCE_MS");
    const int silenceMs =
        arguments.hasTrouble ? (variable ? std::atoi(variable) : defaultSilenceMs) : 0;
    const std::int64_t acknowledgedAt =
        store.putThenFallSilent("config", "main", config(3), silenceMs);
    const std::int64_t silenceEndedAt = acknowledgedAt + silenceMs;
    const std::int64_t boundAt =
        std::max(acknowledgedAt + configMs, silenceEndedAt + stableWindowMs);
    sleepUntilMs(acknowledgedAt + observedMs);
    client.stop();
    droppedClient.stop();

    // A request is bound if it was sent by its client later than boundAt.
    std::set<std::string> bound;
    int refused = 0;
    int served = 0;
    for (const Client *it : {&client, &droppedClient}) {
        for (const Result &result : it->results()) {
            served += result.status == 200 ? 1 : 0;
            if (result.sentAt <= boundAt)
                continue;
            bound.insert(result.attempt);
            refused += result.status == 401 ? 1 : 0;
        }
    }
    int byOld = 0;
    std::int64_t lastAt = 0;
    for (const Arrival &it : arrivals.all()) {
        if (!it.ran || it.service != "old" || !bound.contains(it.attempt))
            continue;
        ++byOld;
        lastAt = it.at;
    }
    std::map<std::string, int> byOldAt; // by gateway
    for (const Client *it : {&client, &droppedClient}) {
        for (const Result &result : it->results()) {
            if (result.sentAt > boundAt && result.answer.body.starts_with("i-old"))
                ++byOldAt[result.gateway];
        }
    }
    for (const auto &[gateway, n] : byOldAt)
        record.line("bound requests run by the old service at " + gateway + ": "
                    + std::to_string(n));
    int withDroppedKey = 0;
    for (const Result &result : droppedClient.results())
        withDroppedKey += result.sentAt > boundAt && result.status == 200 ? 1 : 0;
    record.line("answers lost: " + std::to_string(store.lostAnswers()) + "; bound from "
                + std::to_string(boundAt) + "; of " + std::to_string(bound.size())
                + " requests sent later, run by the old service: " + std::to_string(byOld)
                + ", the last at " + std::to_string(lastAt)
                + ", served with the dropped key: " + std::to_string(withDroppedKey));
    std::printf(
        "CONFIG: of %zu bound requests, %d were run by the old service (until %lld ms after "
        "the acknowledgement), %d with the dropped key; answers lost: %d, stale gateways: %zu\n",
        bound.size(), byOld, static_cast<long long>(lastAt > 0 ? lastAt - acknowledgedAt : 0),
        withDroppedKey, store.lostAnswers(), byOldAt.size());
    if (served == 0 || bound.empty() || (arguments.hasTrouble && store.lostAnswers() == 0))
        return 2;
    return byOld > 0 || withDroppedKey > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = Arguments::parse(argc, argv);
    return arguments ? run(*arguments) : 2;
}

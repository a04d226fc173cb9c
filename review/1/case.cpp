// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// An entry of another writer, with a string that cannot be decoded, gets into the registry. Later
/// a replica announces that it leaves. Checks DRAIN: no request reaches it later than drainMs after
/// the store acknowledged that.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "../support/support.h"

namespace {

using namespace review;

// The bounds of the deployment whose page tells of other writers.
constexpr int drainMs = 5000;
constexpr int configMs = 5000;
constexpr int stableWindowMs = 6000;
constexpr int graceS = 8;

constexpr int exitDelayMs = 3000; ///< a replica serves a little longer than drainMs
constexpr int afterExitMs = 4000;
constexpr int restartLimitMs = 10'000;

/// Entries of another writer, each valid JSON by the grammar of RFC 8259. The environment variable
/// FOREIGN selects one.
std::string foreignSpec()
{
    const char *variable = std::getenv("FOREIGN");
    const std::string kind = variable == nullptr ? "bytes" : variable;
    if (kind == "type") // a list where a text is expected
        return R"({"service":"s","zone":)" + std::string(600, '[') + std::string(600, ']') + "}";
    if (kind == "number") // a number that no type holds
        return R"({"service":"s","slots":1e99999999999})";
    if (kind == "missing") // no field is unreadable; gateways are expected to skip it
        return R"({"service":"s"})";
    // Half of a surrogate pair, as encoders write for a byte that is not UTF-8.
    return R"({"service":"s","note":"\udc80"})";
}

const std::string config = R"({"version":1,"routes":[
{"name":"read","host":"h.example","pathPrefix":"/read/","routeType":"safe","service":"s","maxAttempts":2,"timeoutMs":1500,"targetLatencyMs":150,"priority":0},
{"name":"write","host":"h.example","pathPrefix":"/write/","routeType":"unsafe","service":"s","maxAttempts":2,"timeoutMs":1500,"targetLatencyMs":150,"priority":0}],
"services":[{"name":"s","healthPath":"/health","maxConns":100}],
"tenants":[{"name":"t","apiKeys":["key-1"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

int run(const Arguments &arguments)
{
    Record record(arguments.record);
    record.line(arguments.hasTrouble ? "with the entry of another writer"
                                     : "TROUBLE=0: without the entry of another writer");
    Store store(record);
    Arrivals arrivals;
    Replica first(record, arrivals, "i-1", "s", 20);
    Replica second(record, arrivals, "i-2", "s", 20);
    Replica third(record, arrivals, "i-3", "s", 20);
    store.put("config", "main", config);
    for (Replica *it : {&first, &second, &third})
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
        settings.storePort = store.port();
        settings.seeds = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
        settings.configMs = configMs;
        settings.drainMs = drainMs;
        settings.graceS = graceS;
        gateways.push_back(std::make_unique<Gateway>(settings));
        gateways.back()->start();
        all.push_back(gateways.back().get());
    }
    if (!waitUntilReady(all, 20'000)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    Client::Options reads;
    reads.path = "/read/1";
    reads.intervalMs = 40;
    Client::Options writes = reads;
    writes.method = "POST";
    writes.path = "/write/1";
    Client reader(record, all, reads);
    Client writer(record, all, writes);

    sleepMs(stableWindowMs + 1000);
    if (arguments.hasTrouble)
        store.put("servers", "written-by-another", foreignSpec());
    sleepMs(2000);
    const std::int64_t acknowledgedAt = first.registerAt(store, "draining");
    sleepUntilMs(acknowledgedAt + drainMs + exitDelayMs);
    record.line("replica i-1 exits");
    first.exit();
    store.remove("servers", first.id());
    const std::int64_t exitedAt = nowMs();
    sleepMs(afterExitMs);
    reader.stop();
    writer.stop();
    // Not judged: what the entry does to gateways that start.
    for (Gateway *it : all)
        it->kill();
    for (Gateway *it : all)
        it->start();
    record.line(std::string("a gateway is ready within 10 s of a restart of all: ")
                + (waitUntilReady({all[0]}, restartLimitMs) ? "yes" : "no"));

    int late = 0;
    int before = 0;
    for (const Arrival &it : arrivals.all()) {
        if (it.replica != "i-1" || !it.ran)
            continue;
        (it.at > acknowledgedAt + drainMs ? late : before) += 1;
    }
    int lost = 0;
    int served = 0;
    for (const Result &it : writer.results()) {
        lost += it.sentAt > acknowledgedAt + drainMs && it.status == 502 ? 1 : 0;
        served += it.status == 200 ? 1 : 0;
    }
    record.line("requests at i-1 up to " + std::to_string(drainMs)
                + " ms after its leaving was acknowledged: " + std::to_string(before) + ", later: "
                + std::to_string(late) + "; unsafe requests served: " + std::to_string(served)
                + ", answered with 502 after that time: " + std::to_string(lost)
                + "; i-1 exited at " + std::to_string(exitedAt));
    std::printf("DRAIN: %d requests reached the leaving replica later than %d ms after the "
                "acknowledgement; %d unsafe requests ended with 502\n",
                late, drainMs, lost);
    if (before == 0 || served == 0)
        return 2; // no traffic: nothing was tested
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = Arguments::parse(argc, argv);
    return arguments ? run(*arguments) : 2;
}

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Runs one script of the review: `fixture CASE GATEWAY FOLDER RECORD`. Exits with 1 if the rule
/// was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.

#include <set>

#include "platform.h"

namespace fixture {

namespace {

struct Setup
{
    std::string gateway;
    std::string folder;
    Record &record;
    bool trouble = true;
};

using Case = void (*)(const Setup &);

/// Ends the process, as the threads of stand-ins go on serving until then.
[[noreturn]] void finish(const Setup &setup, Gateway &gateway, bool held)
{
    gateway.stop();
    setup.record.add("case", held ? "the rule held" : "the rule was broken");
    std::fflush(nullptr);
    std::_Exit(held ? 0 : 1);
}

std::string post(const std::string &path, const std::string &fields, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A replica that answers each request with 200.
bool answerPlainly(Replica &replica, Socket &socket, const Message &request)
{
    if (!replica.isMeant(request))
        return socket.send(answerText("421 Misdirected Request", "", ""));
    replica.ran(request);
    return socket.send(replica.answer(request, "200 OK", "answer of " + replica.id() + "\n"));
}

std::vector<Run> runsOf(const std::vector<std::unique_ptr<Replica>> &replicas)
{
    std::vector<Run> all;
    for (const auto &replica : replicas) {
        const std::vector<Run> runs = replica->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

// ---- additional bytes after an answer -----------------------------------------------------

/// One of two replicas sends additional bytes after one of its answers. They arrive where the next
/// answer on that channel is expected, and have no Attempt-Id, as they belong to no request.
void extraAnswer(const Setup &setup)
{
    constexpr int callCount = 120;
    constexpr int extraAfter = 20; ///< answers of the replica on its first channel
    const std::string extra = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
    Store store;
    std::atomic<int> answers{0};
    std::atomic<bool> isSent{!setup.trouble};
    std::mutex mutex;
    std::string faulty; ///< the replica that has answered first
    const auto answer = [&](Replica &replica, Socket &socket, const Message &request) {
        bool sendsExtra = false;
        {
            const std::lock_guard lock(mutex);
            if (faulty.empty())
                faulty = replica.id();
            sendsExtra =
                faulty == replica.id() && answers++ >= extraAfter && !isSent.exchange(true);
        }
        if (sendsExtra) {
            replica.record().add(replica.id(), "sends additional bytes: " + printable(extra));
            if (!socket.send(extra))
                return false;
        }
        return answerPlainly(replica, socket, request);
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *id : {"replica-1", "replica-2"}) {
        replicas.push_back(std::make_unique<Replica>(setup.record, id, answer));
        replicas.back()->registerAt(store, "app");
    }
    DesiredState state;
    state.routes =
        routeJson("book", "unsafe", R"("maxAttempts":2,"timeoutMs":4000,"targetLatencyMs":150)");
    state.writeTo(store);
    Gateway gateway(setup.gateway, setup.folder, store);
    gateway.waitUntilReady();
    Socket channel = Socket::connect(gateway.callers());
    std::map<std::string, int> statuses;
    for (int n = 1; n <= callCount; ++n) {
        const std::string attempt = "book-" + std::to_string(n);
        const Reply reply =
            exchange(setup.record, channel, attempt, post("/book/x", clientFields(attempt), "hi"),
                     std::chrono::seconds(4));
        statuses[attempt] = reply.status();
        if (reply.result != Reader::Result::Whole)
            channel = Socket::connect(gateway.callers());
    }
    std::map<std::string, std::vector<std::string>> runs;
    for (const Run &run : runsOf(replicas))
        runs[run.attempt()].push_back(run.replica);
    bool held = true;
    for (const auto &[attempt, at] : runs) {
        if (at.size() > 1) {
            held = false;
            setup.record.add("check",
                             "TWICE: " + attempt + " ran " + std::to_string(at.size())
                                 + " times, at " + at[0] + " and " + at[1]);
        }
        if (statuses[attempt] == 503 || statuses[attempt] == 429)
            setup.record.add("check",
                             "REFUSED: " + attempt + " ran and was answered "
                                 + std::to_string(statuses[attempt]));
    }
    finish(setup, gateway, held);
}

// ---- requests that are never answered -----------------------------------------------------

/// A request whose prompt parts take \p bytes of its head.
std::string longHead(const std::string &attempt, std::size_t bytes)
{
    std::string parts = "5c1e07a2:100";
    for (int id = 0x91b000; parts.size() < bytes; ++id) {
        char part[32];
        std::snprintf(part, sizeof part, ",%x:1", static_cast<unsigned>(id));
        parts += part;
    }
    return post("/save/x", clientFields(attempt) + "Prompt-Prefix: " + parts + "\r\n", "hi");
}

/// Clients send requests with long heads, within the limits of the desired state. Those that are
/// unanswered at their route's timeoutMs must have an answer half a second later.
void unansweredRequests(const Setup &setup)
{
    constexpr int callCount = 12;
    constexpr int moreCount = 1200;
    constexpr Millis timeout(2000);
    const std::size_t bytes = setup.trouble ? 70'000 : 60'000;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.push_back(std::make_unique<Replica>(setup.record, "replica-1", answerPlainly));
    replicas.back()->registerAt(store, "app");
    DesiredState state;
    state.routes =
        routeJson("save", "unsafe", R"("maxAttempts":1,"timeoutMs":2000,"targetLatencyMs":150)");
    state.maxHeaderBytes = 131'072;
    state.writeTo(store);
    Gateway gateway(setup.gateway, setup.folder, store);
    gateway.waitUntilReady();
    std::vector<Reply> replies(callCount);
    std::vector<std::thread> clients;
    for (int n = 0; n < callCount; ++n) {
        clients.emplace_back([&, n] {
            const std::string attempt = "save-" + std::to_string(n + 1);
            Socket channel = Socket::connect(gateway.callers());
            replies[n] = exchange(setup.record, channel, attempt, longHead(attempt, bytes),
                                  timeout + Millis(500));
        });
    }
    for (std::thread &client : clients)
        client.join();
    const auto unanswered = std::ranges::count_if(
        replies, [](const Reply &reply) { return reply.result == Reader::Result::Timeout; });
    const bool held = unanswered < 8 || 2 * unanswered <= callCount;
    setup.record.add("check",
                     std::to_string(unanswered) + " of " + std::to_string(callCount)
                         + " requests have no answer 0.5 s after timeoutMs");
    // What follows shows what remains of such requests; it is not judged.
    pause(Millis(1000));
    setup.record.add("after",
                     "all channels are closed; the gateway counts "
                         + gateway.metric("reachlead_open_connections") + " open ones");
    std::vector<Socket> channels;
    for (int n = 0; n < moreCount; ++n) {
        channels.push_back(Socket::connect(gateway.callers()));
        channels.back().send(longHead("more-" + std::to_string(n), bytes));
        if (channels.size() == 50) {
            pause(Millis(250));
            channels.clear();
        }
    }
    pause(Millis(1000));
    setup.record.add("after",
                     std::to_string(moreCount)
                         + " more such requests; all channels are closed; open ones: "
                         + gateway.metric("reachlead_open_connections")
                         + ", ready: " + (gateway.isReady() ? "yes" : "no"));
    for (int n = 0; n < 5; ++n) {
        const std::string attempt = "shorter-" + std::to_string(n + 1);
        Socket channel = Socket::connect(gateway.callers());
        exchange(setup.record, channel, attempt, longHead(attempt, 30'000),
                 std::chrono::seconds(4));
    }
    finish(setup, gateway, held);
}

// ---- a request inside another -------------------------------------------------------------

/// The body of a request is the text of another request. Its transfer coding is not one that the
/// gateway knows the end of.
void smuggledRequest(const Setup &setup)
{
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.push_back(std::make_unique<Replica>(setup.record, "replica-1", answerPlainly));
    replicas.back()->registerAt(store, "app");
    DesiredState state;
    state.routes =
        routeJson("save", "unsafe", R"("maxAttempts":1,"timeoutMs":4000,"targetLatencyMs":150)");
    state.writeTo(store);
    Gateway gateway(setup.gateway, setup.folder, store);
    gateway.waitUntilReady();
    int n = 0;
    for (const std::string coding : {"gzip", "identity", "chunked, gzip"}) {
        const std::string number = std::to_string(++n);
        const std::string inner =
            post("/save/inner", clientFields("inner-" + number), "not sent by a client");
        const std::string framing = setup.trouble
            ? "Transfer-Encoding: " + coding + "\r\n"
            : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
        setup.record.add(
            "client", "the body of outer-" + number + " (" + coding + ") is: " + printable(inner));
        Socket channel = Socket::connect(gateway.callers());
        exchange(setup.record, channel, "outer-" + number,
                 "POST /save/outer HTTP/1.1\r\n" + clientFields("outer-" + number) + framing
                     + "\r\n" + inner,
                 std::chrono::seconds(2));
        pause(Millis(500)); // the channel stays open meanwhile
    }
    bool held = true;
    for (const Run &run : runsOf(replicas)) {
        if (!run.attempt().starts_with("inner-"))
            continue;
        held = false;
        setup.record.add("check",
                         "UNASKED: " + run.attempt() + " ran, which stood inside another request");
    }
    finish(setup, gateway, held);
}

// ---- the body of another replica's answer -------------------------------------------------

constexpr int eventCount = 5;
constexpr Millis endDelay(300); ///< between the last event of a stream and its end
constexpr const char *failure = "internal error\n"; ///< the body of a replica's own 500

std::string streamFields(const std::string &attempt)
{
    return clientFields(attempt, "key-a", 12'000);
}

/// Answers with the events after Last-Event-Id. The first send of a resumed stream fails if
/// \p fails.
bool answerStream(Replica &replica, Socket &socket, const Message &request, bool fails)
{
    const std::string attempt = request.field("attempt-id");
    replica.ran(request);
    if (fails) {
        replica.record().add(replica.id(), "answers " + attempt + " with 500");
        return socket.send(
            replica.answer(request, "500 Internal Server Error", replica.id() + ": " + failure));
    }
    const int after = std::atoi(request.field("last-event-id").c_str());
    replica.record().add(replica.id(),
                         "answers " + attempt + " with 200 and "
                             + std::to_string(std::max(0, eventCount - after)) + " events");
    std::string text = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
        + "\r\nReplica-Stamp: " + replica.id()
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int id = after + 1; id <= eventCount; ++id) {
        const std::string event =
            "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
        char size[20];
        std::snprintf(size, sizeof size, "%zx", event.size());
        text += size + std::string("\r\n") + event + "\r\n";
    }
    if (after < eventCount) {
        if (!socket.send(text))
            return false;
        text.clear();
        pause(endDelay);
    }
    return socket.send(text + "0\r\n\r\n");
}

/// Clients that lost their channel behind the last event resume. A replica fails the first send of
/// each resumed stream, and the other one has nothing left to send.
void foreignBody(const Setup &setup)
{
    constexpr int rounds = 3;
    Store store;
    std::mutex mutex;
    std::set<std::string> failed; ///< resumed attempts that got a 500
    const auto answer = [&](Replica &replica, Socket &socket, const Message &request) {
        const std::string attempt = request.field("attempt-id");
        bool fails = false;
        if (setup.trouble && attempt.starts_with("resume-")) {
            const std::lock_guard lock(mutex);
            fails = failed.insert(attempt).second;
        }
        return answerStream(replica, socket, request, fails);
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *id : {"replica-1", "replica-2"}) {
        replicas.push_back(std::make_unique<Replica>(setup.record, id, answer));
        replicas.back()->registerAt(store, "app");
    }
    DesiredState state;
    state.routes = routeJson("draft", "stream",
                             R"("maxAttempts":2,"timeoutMs":12000,"targetLatencyMs":1500,)"
                             R"("gapTargetMs":1200,"resumable":true)");
    state.writeTo(store);
    Gateway gateway(setup.gateway, setup.folder, store);
    gateway.waitUntilReady();
    bool held = true;
    int resumed = 0;
    const auto until = Clock::now() + std::chrono::seconds(60);
    for (int n = 1; resumed < rounds && Clock::now() < until; ++n) {
        // The client loses the channel of the second between its last event and its end.
        for (const std::string name : {"whole-", "cut-"}) {
            const std::string attempt = name + std::to_string(n);
            const Millis patience = name == "cut-" ? endDelay / 2 : Millis(4000);
            Socket channel = Socket::connect(gateway.callers());
            exchange(setup.record, channel, attempt,
                     post("/draft/x", streamFields(attempt), "prompt"), patience);
        }
        const std::string attempt = "resume-" + std::to_string(n);
        Socket channel = Socket::connect(gateway.callers());
        const Reply reply = exchange(
            setup.record, channel, attempt,
            post("/draft/x",
                 streamFields(attempt) + "Last-Event-Id: " + std::to_string(eventCount) + "\r\n",
                 "prompt"),
            std::chrono::seconds(12));
        if (reply.status() == 503) { // not known yet which versions there were; not judged
            pause(Millis(1000));
            continue;
        }
        ++resumed;
        const bool isSuccess = reply.status() == 200;
        if (isSuccess && !reply.answer.body.empty()) {
            held = false;
            setup.record.add("check",
                             "MIXED: " + attempt + " got a 200 of "
                                 + reply.answer.field("replica-stamp")
                                 + ", which sent no body, with the body \""
                                 + printable(reply.answer.body) + "\"");
        }
    }
    if (resumed < rounds)
        throw std::runtime_error("the gateway resumed no stream in time");
    finish(setup, gateway, held);
}

// ---- keys after the last tenant is gone ---------------------------------------------------

/// A new version removes the only tenant. A request with a key that no version ever held must not
/// run.
void unknownKey(const Setup &setup)
{
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.push_back(std::make_unique<Replica>(setup.record, "replica-1", answerPlainly));
    replicas.back()->registerAt(store, "app");
    DesiredState state;
    state.routes =
        routeJson("save", "unsafe", R"("maxAttempts":1,"timeoutMs":4000,"targetLatencyMs":150)");
    state.writeTo(store);
    Gateway gateway(setup.gateway, setup.folder, store);
    gateway.waitUntilReady();
    const auto call = [&](const std::string &attempt, const std::string &key) {
        Socket channel = Socket::connect(gateway.callers());
        exchange(setup.record, channel, attempt, post("/save/x", clientFields(attempt, key), "hi"),
                 std::chrono::seconds(4));
    };
    call("known-1", "key-a");
    call("stranger-1", "key-of-nobody");
    state.version = 2;
    state.tenants = setup.trouble ? "[]" : R"([{"name":"tenant-b","apiKeys":["key-b"]}])";
    setup.record.add("operator", "writes version 2 with tenants " + state.tenants);
    state.writeTo(store);
    pause(Millis(5000)); // configMs is 2 s
    call("stranger-2", "key-of-nobody");
    call("removed-2", "key-a");
    bool held = true;
    for (const Run &run : runsOf(replicas)) {
        if (run.attempt().starts_with("stranger-")) {
            held = false;
            setup.record.add("check",
                             "ROUTE: " + run.attempt() + " ran with a key that no version held");
        } else if (run.attempt() == "removed-2") {
            setup.record.add("check",
                             "CONFIG: removed-2 ran with a key that was taken away 5 s"
                             " before");
        }
    }
    finish(setup, gateway, held);
}

const std::map<std::string, Case> cases{{"extra-answer", extraAnswer},
                                        {"unanswered-requests", unansweredRequests},
                                        {"smuggled-request", smuggledRequest},
                                        {"foreign-body", foreignBody},
                                        {"unknown-key", unknownKey}};

} // namespace

} // namespace fixture

int main(int argc, char **argv)
{
    using namespace fixture;
    constexpr int argumentCount = 5;
    if (argc != argumentCount || !cases.contains(argv[1])) {
        std::fprintf(stderr, "usage: fixture CASE GATEWAY FOLDER RECORD\n");
        return 2;
    }
    try {
        Record record(argv[4]);
        const char *trouble = std::getenv("TROUBLE");
        const Setup setup{argv[2], argv[3], record,
                          trouble == nullptr || std::string(trouble) != "0"};
        record.add("case",
                   std::string(argv[1]) + (setup.trouble ? "" : ", without the disruption"));
        try {
            cases.at(argv[1])(setup);
        } catch (const std::exception &e) {
            record.add("case", std::string("could not run: ") + e.what());
        }
    } catch (const std::exception &e) {
        std::fprintf(stderr, "%s\n", e.what());
    }
    std::fflush(nullptr);
    std::_Exit(2);
}

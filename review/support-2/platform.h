// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform's object store, model replicas and a gateway process, for the review's scripts.

#pragma once

#include <condition_variable>
#include <csignal>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "net.h"

namespace fixture {

/// A sound object store: lists, watches and writes with conditions. Objects hold raw JSON.
class Store
{
public:
    Store() : m_server([this](Socket &socket) { serve(socket); }) { }

    int port() const { return m_server.port(); }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec);
    }

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        std::string json;
    };

    static std::string objectJson(const std::string &name, const Object &object)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)"
            + std::to_string(object.revision) + R"(},"spec":)" + object.spec + "}";
    }

    /// The value of a member of a JSON object, by matching brackets outside of strings.
    static std::string member(const std::string &json, const std::string &key)
    {
        const std::string quoted = '"' + key + '"';
        std::size_t at = json.find(quoted);
        if (at == std::string::npos)
            return "";
        at = json.find_first_not_of(" :", at + quoted.size());
        std::size_t end = at;
        int depth = 0;
        bool isText = false;
        for (; end < json.size(); ++end) {
            const char c = json[end];
            if (isText && c == '\\') {
                ++end;
            } else if (c == '"') {
                isText = !isText;
            } else if (!isText && (c == '{' || c == '[')) {
                ++depth;
            } else if (!isText && (c == '}' || c == ']' || c == ',')) {
                if (depth == 0)
                    break;
                depth -= c == ',' ? 0 : 1;
            }
        }
        return json.substr(at, end - at);
    }

    static std::string unquoted(const std::string &text)
    {
        return text.size() < 2 ? text : text.substr(1, text.size() - 2);
    }

    static std::string decoded(const std::string &text)
    {
        std::string out;
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
                n += 2;
            } else {
                out += text[n];
            }
        }
        return out;
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::stringstream parts(query);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.starts_with(name + "="))
                return decoded(part.substr(name.size() + 1));
        }
        return "";
    }

    const Object &write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision == 0 || object.spec != spec) {
            object = {spec, ++m_revision};
            m_events.push_back(
                {kind, m_revision,
                 R"({"object":)" + objectJson(name, object) + R"(,"removed":false})"});
            m_changed.notify_all();
        }
        return object;
    }

    void serve(Socket &socket)
    {
        Reader reader(socket);
        Message request;
        const auto forever = Clock::now() + std::chrono::hours(1);
        while (reader.read(&request, forever) == Reader::Result::Whole) {
            if (!socket.send(answer(request)))
                return;
        }
    }

    static std::string reply(int status, const std::string &body)
    {
        return answerText(std::to_string(status) + " -", "Content-Type: application/json\r\n",
                          body);
    }

    std::string answer(const Message &request)
    {
        const std::string method = request.word(0);
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.size() > path.size() ? target.substr(path.size() + 1) : "";
        const std::string prefix = "/-/objects/";
        if (!path.starts_with(prefix))
            return reply(404, "{}");
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : decoded(rest.substr(slash + 1));
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty() && !parameter(query, "watch").empty())
            return watch(kind, query, lock);
        if (method == "GET" && name.empty())
            return list(kind, parameter(query, "after"));
        std::map<std::string, Object> &objects = m_objects[kind];
        const std::string metadata = member(request.body, "metadata");
        if (method == "POST") {
            const std::string created = unquoted(member(metadata, "name"));
            if (const auto it = objects.find(created); it != objects.end())
                return reply(409, objectJson(created, it->second));
            return reply(201,
                         objectJson(created, write(kind, created, member(request.body, "spec"))));
        }
        const auto it = objects.find(name);
        if (it == objects.end())
            return reply(404, "{}");
        if (method == "GET")
            return reply(200, objectJson(name, it->second));
        std::string condition = member(metadata, "revision");
        if (condition.empty())
            condition = parameter(query, "revision");
        if (!condition.empty() && condition != std::to_string(it->second.revision))
            return reply(409, objectJson(name, it->second));
        if (method == "PUT")
            return reply(200, objectJson(name, write(kind, name, member(request.body, "spec"))));
        const std::string json = objectJson(name, {it->second.spec, ++m_revision});
        objects.erase(it);
        m_events.push_back({kind, m_revision, R"({"object":)" + json + R"(,"removed":true})"});
        m_changed.notify_all();
        return reply(200, json);
    }

    std::string list(const std::string &kind, const std::string &after)
    {
        std::string items;
        for (const auto &[name, object] : m_objects[kind]) {
            if (name > after)
                items += (items.empty() ? "" : ",") + objectJson(name, object);
        }
        return reply(200,
                     R"({"items":[)" + items + R"(],"truncated":false,"asOf":)"
                         + std::to_string(m_revision) + "}");
    }

    std::string watch(const std::string &kind, const std::string &query,
                      std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t since = std::stoull(parameter(query, "watch"));
        const std::string wait = parameter(query, "waitMs");
        const auto until = Clock::now() + Millis(wait.empty() ? 0 : std::stoll(wait));
        while (true) {
            std::string events;
            for (const Event &event : m_events) {
                if (event.kind == kind && event.revision > since)
                    events += (events.empty() ? "" : ",") + event.json;
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                return reply(200,
                             R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision)
                                 + "}");
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    Server m_server; ///< last, as it begins to serve at once
};

/// One request that a replica received.
struct Run
{
    std::string replica;
    Message request;
    std::string attempt() const { return request.field("attempt-id"); }
};

/// Model replicas that register with the store. Their answers are scripted.
class Replica
{
public:
    /// Sends the answers to a request; false closes the connection.
    using Answer = std::function<bool(Replica &, Socket &, const Message &)>;

    Replica(Record &record, std::string id, Answer answer)
        : m_record(record), m_id(std::move(id)), m_answer(std::move(answer)),
          m_server([this](Socket &socket) { serve(socket); })
    { }

    void registerAt(Store &store, const std::string &service)
    {
        store.put("servers", m_id,
                  R"({"service":")" + service + R"(","address":"127.0.0.1:)"
                      + std::to_string(m_server.port())
                      + R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready",)"
                      + R"("coldLeftMs":0,"sequence":1})");
    }

    const std::string &id() const { return m_id; }
    Record &record() { return m_record; }

    /// A complete answer with the headers that each answer of a replica has.
    std::string answer(const Message &request, const std::string &status, const std::string &body,
                       const std::string &more = "") const
    {
        return answerText(status,
                          "Attempt-Id: " + request.field("attempt-id")
                              + "\r\nReplica-Stamp: " + m_id + "\r\n" + more,
                          body);
    }

    bool isMeant(const Message &request) const { return request.field("expect-replica") == m_id; }

    /// Records that the replica began to work on a request.
    void ran(const Message &request)
    {
        m_record.add(m_id, "runs " + request.field("attempt-id") + ": " + request.startLine);
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({m_id, request});
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void serve(Socket &socket)
    {
        Reader reader(socket);
        Message request;
        const auto forever = Clock::now() + std::chrono::hours(1);
        while (reader.read(&request, forever) == Reader::Result::Whole) {
            if (!m_answer(*this, socket, request))
                return;
        }
    }

    Record &m_record;
    const std::string m_id;
    Answer m_answer;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server; ///< last, as it begins to serve at once
};

/// A gateway, started as the deploy file says. Its settings are those of `platform/gateway.ini`,
/// filled in as for a small machine, with free loopback ports.
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &folder, const Store &store)
    {
        const std::string settings = folder + "/gateway.ini";
        const std::string log = folder + "/gateway.log";
        std::ofstream(settings) << "[gateway]\nvm = front-zone-a-1\nzone = zone-a\n"
                                   "listen = 127.0.0.1:0\nready = 127.0.0.1:0\n"
                                   "memory_mb = 260\ndescriptors = 4100\ncores = 0.19\n\n"
                                   "[regions]\nzone-a = region-a\n\n"
                                   "[peers]\naddress = 127.0.0.1:0\nseeds =\nport = 0\n"
                                   "config_bound_ms = 2000\nleave_bound_ms = 2000\n"
                                   "keys = a-key-that-each-deployment-replaces\n\n"
                                   "[operators]\nlisten = 127.0.0.1:0\n\n"
                                   "[store]\naddress = 127.0.0.1:"
                                << store.port()
                                << "\n\n[retries]\nratio = 0.2\nslack = 54\nwindow_s = 10\n\n"
                                   "[stop]\nlimit_s = 8\n\n[engines]\nown_speeds = yes\n\n"
                                   "[pressure]\nenabled = yes\n";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        const auto until = Clock::now() + std::chrono::seconds(10);
        while (m_callers == 0 && Clock::now() < until) {
            pause(Millis(50));
            std::ifstream in(log);
            const std::string text((std::istreambuf_iterator<char>(in)), {});
            const std::size_t start = text.find("event=start ");
            if (start == std::string::npos || text.find('\n', start) == std::string::npos)
                continue;
            m_callers = portIn(text, " callers=", start);
            m_ready = portIn(text, " ready=", start);
            m_operators = portIn(text, " operators=", start);
        }
        if (m_callers == 0)
            throw std::runtime_error("the gateway did not start");
    }
    ~Gateway() { stop(); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Ends the process.
    void stop()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    int callers() const { return m_callers; }

    bool isReady() const { return get(m_ready, "/-/ready").status() == 200; }

    void waitUntilReady() const
    {
        const auto until = Clock::now() + std::chrono::seconds(15);
        while (!isReady()) {
            if (Clock::now() > until)
                throw std::runtime_error("the gateway did not become ready");
            pause(Millis(100));
        }
        pause(Millis(1000));
    }

    /// The value of a metric, as text.
    std::string metric(const std::string &name) const
    {
        const std::string page = get(m_operators, "/metrics").body;
        const std::size_t at = page.find("\n" + name + " ");
        if (at == std::string::npos)
            return "";
        const std::size_t value = at + name.size() + 2;
        return page.substr(value, page.find('\n', value) - value);
    }

private:
    static int portIn(const std::string &text, const std::string &key, std::size_t from)
    {
        const std::size_t at = text.find(key, from);
        return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + key.size());
    }

    static Message get(int port, const std::string &path)
    {
        Message answer;
        Socket socket = Socket::connect(port);
        socket.send("GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
        Reader(socket).read(&answer, Clock::now() + std::chrono::seconds(2));
        return answer;
    }

    pid_t m_pid = -1;
    int m_callers = 0;
    int m_ready = 0;
    int m_operators = 0;
};

/// A desired state with one service of replicas.
struct DesiredState
{
    std::uint64_t version = 1;
    std::string routes; ///< JSON objects, separated by commas
    std::string tenants = R"([{"name":"tenant-a","apiKeys":["key-a"]}])";
    std::uint32_t maxHeaderBytes = 16'384;

    void writeTo(Store &store) const
    {
        store.put("config", "main",
                  R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
                      + R"(],"services":[{"name":"app","healthPath":"/health","maxConns":100}],)"
                      + R"("limits":{"maxHeaderBytes":)" + std::to_string(maxHeaderBytes)
                      + R"(,"maxBodyBytes":4194304,)"
                      + R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)" + tenants
                      + "}");
    }
};

inline std::string routeJson(const std::string &name, const std::string &type,
                             const std::string &more)
{
    return R"({"name":")" + name + R"(","host":"site.example","pathPrefix":"/)" + name
        + R"(/","routeType":")" + type + R"(","service":"app",)" + more + "}";
}

/// The headers that each request of a client has.
inline std::string clientFields(const std::string &attempt, const std::string &key = "key-a",
                                int deadlineMs = 4000)
{
    return "Host: site.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n";
}

/// What a client got for one request.
struct Reply
{
    Reader::Result result = Reader::Result::Timeout;
    Message answer;

    int status() const { return result == Reader::Result::Whole ? answer.status() : 0; }
    std::string text() const
    {
        return result == Reader::Result::Whole
            ? answer.startLine + ", body \"" + printable(answer.body, 70) + "\""
            : toString(result);
    }
};

/// Sends one request on a channel and waits for its answer.
inline Reply exchange(Record &record, Socket &socket, const std::string &attempt,
                      const std::string &bytes, Millis patience)
{
    record.add("client", "sends " + attempt + ": " + printable(bytes, 60));
    Reply reply;
    if (!socket.isOpen() || !socket.send(bytes)) {
        reply.result = Reader::Result::Reset;
    } else {
        Reader reader(socket);
        reply.result = reader.read(&reply.answer, Clock::now() + patience);
    }
    record.add("client", "gets for " + attempt + ": " + reply.text());
    return reply;
}

} // namespace fixture

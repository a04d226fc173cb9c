// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "support.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/json/src.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::int64_t storeAnswerMs = 4;
const auto startedAt = std::chrono::steady_clock::now();

sockaddr_in toAddress(const std::string &ip, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

bool isSameName(const std::string &a, const std::string &b)
{
    return ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string format(const char *pattern, ...)
{
    char buf[2048];
    va_list args;
    va_start(args, pattern);
    std::vsnprintf(buf, sizeof buf, pattern, args);
    va_end(args);
    return buf;
}

std::string response(int status, const std::string &headers, const std::string &body)
{
    return format("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status, headers.c_str(),
                  body.size())
        + body;
}

std::string jsonResponse(int status, const std::string &body)
{
    return response(status, "Content-Type: application/json\r\n", body);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto start = target.find('?');
    if (start == std::string::npos)
        return {};
    std::stringstream all(target.substr(start + 1));
    std::string pair;
    while (std::getline(all, pair, '&')) {
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
    }
    return {};
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - startedAt)
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void sleepUntilMs(std::int64_t at)
{
    sleepMs(std::max<std::int64_t>(0, at - nowMs()));
}

// ---- Record -----------------------------------------------------------------------------

Record::Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr)
        std::exit(2);
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    std::string oneLine = text;
    std::erase(oneLine, '\n');
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%7lld %s\n", static_cast<long long>(nowMs()), oneLine.c_str());
    std::fflush(m_file);
}

// ---- Message and Channel ----------------------------------------------------------------

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameName(key, name))
            return value;
    }
    return {};
}

std::string Message::word(int n) const
{
    std::stringstream words(start);
    std::string word;
    for (int i = 0; i <= n; ++i)
        words >> word;
    return word;
}

Channel::~Channel()
{
    ::close(m_fd);
}

std::shared_ptr<Channel> Channel::connect(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in at = toAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<Channel>(fd);
}

bool Channel::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Channel::fill(std::int64_t until)
{
    pollfd poll{m_fd, POLLIN, 0};
    const auto left = std::max<std::int64_t>(0, until - nowMs());
    if (::poll(&poll, 1, static_cast<int>(std::min<std::int64_t>(left, 1'000'000))) <= 0)
        return false;
    char buf[16384];
    const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
    if (n <= 0) {
        m_failed = true;
        return false;
    }
    m_buffer.append(buf, static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Channel::read(std::int64_t timeoutMs, bool isResponse, bool hasBody)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    const std::size_t end = m_buffer.find("\r\n\r\n");
    Message message;
    std::stringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, message.start);
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
    }
    if (!hasBody) {
        message.isWhole = true;
        return message;
    }
    if (isSameName(message.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t eol = 0;
            while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return message;
            }
            const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < eol + 2 + size + 2) {
                if (!fill(until))
                    return message;
            }
            message.body += m_buffer.substr(eol + 2, size);
            m_buffer.erase(0, eol + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = message.header("Content-Length");
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        const bool toEnd = isResponse && length.empty();
        while (toEnd || m_buffer.size() < size) {
            if (!fill(until)) {
                message.body = m_buffer;
                return message;
            }
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
    }
    message.isWhole = true;
    return message;
}

std::string Channel::peek(std::int64_t timeoutMs)
{
    if (m_buffer.empty())
        fill(nowMs() + timeoutMs);
    return m_buffer;
}

void Channel::waitForClose(const std::atomic<bool> &isOver)
{
    while (!isOver && !m_failed)
        fill(nowMs() + 100);
}

void Channel::shutdown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

// ---- Server -----------------------------------------------------------------------------

Server::Server(const std::string &ip, Serve serve) : m_serve(std::move(serve))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in at = toAddress(ip, 0);
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || ::listen(m_fd, 256) != 0)
        std::exit(2);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    m_acceptor = std::thread([this] {
        while (!m_over) {
            pollfd poll{m_fd, POLLIN, 0};
            if (::poll(&poll, 1, 20) <= 0)
                continue;
            const int fd = ::accept(m_fd, nullptr, nullptr);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto channel = std::make_shared<Channel>(fd);
            const std::lock_guard lock(m_mutex);
            m_channels.push_back(channel);
            m_threads.emplace_back([this, channel] { m_serve(channel); });
        }
        ::close(m_fd);
    });
}

Server::~Server()
{
    exit();
    for (std::thread &it : m_threads)
        it.join();
}

void Server::exit()
{
    if (m_over.exchange(true))
        return;
    m_acceptor.join();
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_channels) {
        if (const auto channel = it.lock())
            channel->shutdown();
    }
}

// ---- Store ------------------------------------------------------------------------------

Store::Store(Record &record)
    : m_record(record),
      m_server("127.0.0.1", [this](const std::shared_ptr<Channel> &it) { serve(it, true); }),
      m_otherServer("127.0.0.1", [this](const std::shared_ptr<Channel> &it) { serve(it, false); })
{ }

std::int64_t Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    return putLocked(kind, name, spec);
}

std::int64_t Store::putLocked(const std::string &kind, const std::string &name,
                              const std::string &spec)
{
    m_objects[kind][name] = {spec, ++m_revision};
    m_history.push_back({m_revision, kind, name, spec, false});
    m_changed.notify_all();
    m_record.line("store: acknowledged " + kind + "/" + name + " revision "
                  + std::to_string(m_revision) + " " + spec);
    return nowMs();
}

std::int64_t Store::putThenFallSilent(const std::string &kind, const std::string &name,
                                      const std::string &spec, std::int64_t ms)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t at = putLocked(kind, name, spec);
    m_silentUntil = at + ms;
    m_record.line("store: silent for " + std::to_string(ms) + " ms");
    return at;
}

bool Store::isSilent()
{
    const std::lock_guard lock(m_mutex);
    return nowMs() < m_silentUntil;
}

std::int64_t Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_objects[kind].erase(name);
    m_history.push_back({++m_revision, kind, name, "null", true});
    m_changed.notify_all();
    m_record.line("store: removed " + kind + "/" + name);
    return nowMs();
}

void Store::serve(const std::shared_ptr<Channel> &channel, bool maySilence)
{
    while (!m_server.isOver()) {
        const auto request = channel->read(200, false);
        if (!request && channel->hasFailed())
            return;
        if (!request)
            continue;
        const std::string bytes = answer(*request);
        if (maySilence && isSilent()) {
            ++m_lost;
            m_record.line("store: the answer to " + request->start + " is lost");
            channel->waitForClose(m_server.isOver());
            return;
        }
        sleepMs(storeAnswerMs);
        if (!channel->send(bytes))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const std::string root = "/-/objects/";
    const std::string method = request.word(0);
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(root, 0) != 0)
        return jsonResponse(404, "{}");
    const std::string rest = path.substr(root.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (method != "GET")
        return write(method, kind, name, request);
    const std::string since = queryValue(target, "watch");
    if (!since.empty())
        return watch(kind, std::strtoull(since.c_str(), nullptr, 10),
                     std::atoll(queryValue(target, "waitMs").c_str()));
    const std::lock_guard lock(m_mutex);
    const auto one = [](const std::string &itsName, const Object &it) {
        return "{\"metadata\":{\"name\":\"" + itsName
            + "\",\"revision\":" + std::to_string(it.revision) + "},\"spec\":" + it.spec + "}";
    };
    if (!name.empty()) {
        const auto it = m_objects[kind].find(name);
        return it == m_objects[kind].end() ? jsonResponse(404, "{}")
                                           : jsonResponse(200, one(name, it->second));
    }
    std::string items;
    for (const auto &[itsName, it] : m_objects[kind])
        items += (items.empty() ? "" : ",") + one(itsName, it);
    return jsonResponse(200,
                        "{\"items\":[" + items
                            + "],\"truncated\":false,\"asOf\":" + std::to_string(m_revision) + "}");
}

std::string Store::watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock lock(m_mutex);
    while (true) {
        std::string events;
        for (const Change &it : m_history) {
            if (it.revision <= revision || it.kind != kind)
                continue;
            events += (events.empty() ? "" : ",") + std::string("{\"removed\":")
                + (it.removed ? "true" : "false") + ",\"object\":{\"metadata\":{\"name\":\""
                + it.name + "\",\"revision\":" + std::to_string(it.revision)
                + "},\"spec\":" + it.spec + "}}";
        }
        const bool isDue = std::chrono::steady_clock::now() >= until || m_server.isOver();
        if (!events.empty() || isDue) {
            return jsonResponse(
                200, "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}");
        }
        m_changed.wait_until(
            lock,
            std::min(until, std::chrono::steady_clock::now() + std::chrono::milliseconds(100)));
    }
}

/// A write of a gateway, under the condition that it names.
std::string Store::write(const std::string &method, const std::string &kind,
                         const std::string &name, const Message &request)
{
    const std::string expected = queryValue(request.word(1), "revision");
    std::uint64_t condition = std::strtoull(expected.c_str(), nullptr, 10);
    boost::system::error_code ec;
    const json::value body =
        request.body.empty() ? json::value(json::object()) : json::parse(request.body, ec);
    if (ec || !body.is_object())
        return jsonResponse(400, "{}");
    const json::value *metadata = body.get_object().if_contains("metadata");
    std::string target = name;
    if (metadata != nullptr) {
        if (const json::value *it = metadata->get_object().if_contains("revision"))
            condition = it->to_number<std::uint64_t>();
        if (method == "POST")
            target = std::string(metadata->at("name").as_string());
    }
    std::unique_lock lock(m_mutex);
    const auto it = m_objects[kind].find(target);
    const bool exists = it != m_objects[kind].end();
    if (method == "POST" ? exists : exists && condition != 0 && condition != it->second.revision)
        return jsonResponse(409, "{}");
    if (method != "POST" && !exists)
        return jsonResponse(404, "{}");
    lock.unlock();
    if (method == "DELETE") {
        remove(kind, target);
        return jsonResponse(200, "{}");
    }
    put(kind, target, json::serialize(body.at("spec")));
    lock.lock();
    return jsonResponse(200,
                        "{\"metadata\":{\"name\":\"" + target + "\",\"revision\":"
                            + std::to_string(m_objects[kind][target].revision) + "}}");
}

// ---- Replica ----------------------------------------------------------------------------

void Arrivals::add(const Arrival &arrival)
{
    const std::lock_guard lock(m_mutex);
    m_all.push_back(arrival);
}

std::vector<Arrival> Arrivals::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_all;
}

Replica::Replica(Record &record, Arrivals &arrivals, std::string id, std::string service,
                 int workMs)
    : m_record(record), m_arrivals(arrivals), m_id(std::move(id)), m_service(std::move(service)),
      m_workMs(workMs),
      m_server("127.0.0.1", [this](const std::shared_ptr<Channel> &it) { serve(it); })
{ }

std::string Replica::spec(const std::string &state) const
{
    return "{\"service\":\"" + m_service + "\",\"address\":\"127.0.0.1:" + std::to_string(port())
        + "\",\"zone\":\"z1\",\"version\":\"1\",\"slots\":6,\"state\":\"" + state
        + "\",\"coldLeftMs\":0,\"sequence\":1}";
}

std::int64_t Replica::registerAt(Store &store, const std::string &state)
{
    return store.put("servers", m_id, spec(state));
}

void Replica::serve(const std::shared_ptr<Channel> &channel)
{
    while (!m_server.isOver()) {
        const auto request = channel->read(200, false);
        if (!request && channel->hasFailed())
            return;
        if (!request)
            continue;
        const std::string attempt = request->header("Attempt-Id");
        const std::string expected = request->header("Expect-Replica");
        const bool ran = expected.empty() || expected == m_id;
        const Arrival arrival{nowMs(), m_id, m_service, attempt, request->word(1), ran};
        m_arrivals.add(arrival);
        m_record.line("replica " + m_id + " (" + m_service + "): " + (ran ? "runs " : "rejects ")
                      + request->word(0) + " " + arrival.path + " attempt " + attempt);
        if (!ran) {
            channel->send(response(421, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", ""));
            continue;
        }
        sleepMs(m_workMs);
        const std::string body = m_id + " ran " + attempt;
        std::string answer = response(200,
                                      "Attempt-Id: " + attempt + "\r\nReplica-Stamp: " + m_id + "."
                                          + std::to_string(++m_answers) + "\r\n",
                                      body);
        if (request->word(0) == "HEAD")
            answer.resize(answer.size() - body.size());
        if (!channel->send(answer))
            return;
    }
}

// ---- Gateway ----------------------------------------------------------------------------

Gateway::~Gateway()
{
    kill();
}

void Gateway::start()
{
    const std::string base = m_settings.folder + "/" + m_settings.name;
    std::string seeds;
    for (const std::string &it : m_settings.seeds)
        seeds += (seeds.empty() ? "" : ",") + it + ":" + std::to_string(m_settings.frontPort + 2);
    std::ofstream file(base + ".ini");
    file << "[gateway]\nvm = " << m_settings.name << "\nzone = z1\nlisten = " << m_settings.ip
         << ":" << m_settings.frontPort << "\nready = " << m_settings.ip << ":"
         << m_settings.frontPort + 1
         << "\nmemory_mb = 260\ndescriptors = 4100\ncores = 0.19\n\n[regions]\nz1 = "
            "r1\n\n[peers]\naddress = "
         << m_settings.ip << ":" << m_settings.peerPort << "\nseeds = " << seeds
         << "\nport = " << m_settings.peerPort << "\nconfig_bound_ms = " << m_settings.configMs
         << "\nleave_bound_ms = " << m_settings.drainMs
         << "\nkeys = a-key-that-each-deployment-replaces\n\n[operators]\nlisten = "
         << m_settings.ip << ":" << m_settings.peerPort + 1
         << "\n\n[store]\naddress = 127.0.0.1:" << m_settings.storePort
         << "\n\n[retries]\nratio = " << m_settings.retryRatio
         << "\nslack = " << m_settings.retrySlack << "\nwindow_s = " << m_settings.budgetWindowS
         << "\n\n[stop]\nlimit_s = " << m_settings.graceS
         << "\n\n[engines]\nown_speeds = yes\n\n[pressure]\nenabled = yes\nfor = "
            "base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n";
    file.close();
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (int fd = 3; fd < 1024; ++fd)
        ::close(fd);
    const std::string settings = base + ".ini";
    ::execl(m_settings.program.c_str(), m_settings.program.c_str(), "--settings", settings.c_str(),
            static_cast<char *>(nullptr));
    ::_exit(127);
}

void Gateway::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Gateway::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
}

bool Gateway::hasEnded(int *status)
{
    if (m_pid <= 0 || ::waitpid(m_pid, status, WNOHANG) != m_pid)
        return false;
    m_pid = -1;
    return true;
}

bool Gateway::isReady() const
{
    const auto channel = Channel::connect(m_settings.ip, m_settings.frontPort + 1);
    if (!channel || !channel->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    const auto answer = channel->read(1000, true);
    return answer && answer->status() == 200;
}

int findFreePorts(int n)
{
    constexpr int step = 50;
    const int first = 20000 + static_cast<int>(::getpid() % 400) * step;
    for (int port = first; port < first + 10000; port += step) {
        bool isFree = true;
        for (int i = 0; i < n * 9 && isFree; ++i) {
            const sockaddr_in at = toAddress("127.0.0." + std::to_string(1 + i / n), port + i % n);
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type, 0);
                isFree =
                    isFree && ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
                ::close(fd);
            }
        }
        if (isFree)
            return port;
    }
    std::exit(2);
}

// ---- Client -----------------------------------------------------------------------------

Result sendRequest(Record &record, const Gateway &gateway, std::shared_ptr<Channel> *channel,
                   const std::string &method, const std::string &host, const std::string &path,
                   const std::string &key, int deadlineMs)
{
    static std::atomic<std::uint64_t> lastAttempt{0};
    const bool hasNoBody = method == "GET" || method == "HEAD";
    Result result;
    result.attempt = format("a%06llu", static_cast<unsigned long long>(++lastAttempt));
    result.gateway = gateway.name();
    result.sentAt = nowMs();
    std::shared_ptr<Channel> own;
    std::shared_ptr<Channel> &used = channel != nullptr ? *channel : own;
    if (!used)
        used = Channel::connect(gateway.ip(), gateway.frontPort());
    result.status = -1;
    if (used) {
        const std::string body = hasNoBody ? "" : "body of " + result.attempt;
        const std::string bytes =
            format("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                   "Authorization: Bearer %s\r\n",
                   method.c_str(), path.c_str(), host.c_str(), result.attempt.c_str(), deadlineMs,
                   key.c_str());
        const std::string length = hasNoBody ? "" : format("Content-Length: %zu\r\n", body.size());
        result.status = 0;
        std::optional<Message> answer;
        if (used->send(bytes + length + "\r\n" + body))
            answer = used->read(deadlineMs + 1000, true, method != "HEAD");
        if (answer && answer->isWhole) {
            result.status = answer->status();
            result.answer = *answer;
        }
        if (!answer || !answer->isWhole || isSameName(answer->header("Connection"), "close"))
            used.reset();
    }
    result.endedAt = nowMs();
    record.line(
        format("client: %s %s%s attempt %s key %s at %s sent %lld: status %d stamp %s body %.60s",
               method.c_str(), host.c_str(), path.c_str(), result.attempt.c_str(), key.c_str(),
               result.gateway.c_str(), static_cast<long long>(result.sentAt), result.status,
               result.answer.header("Replica-Stamp").c_str(), result.answer.body.c_str()));
    return result;
}

Client::Client(Record &record, std::vector<Gateway *> gateways, Options options)
    : m_record(record), m_gateways(std::move(gateways)), m_options(std::move(options)),
      m_thread([this] { run(); })
{ }

void Client::stop()
{
    m_over = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<Result> Client::results() const
{
    const std::lock_guard lock(m_mutex);
    return m_results;
}

void Client::run()
{
    std::vector<std::shared_ptr<Channel>> channels(m_gateways.size());
    std::int64_t next = nowMs();
    for (std::size_t n = 0; !m_over; ++n) {
        const std::size_t i = n % m_gateways.size();
        const Result result =
            sendRequest(m_record, *m_gateways[i], &channels[i], m_options.method, m_options.host,
                        m_options.path, m_options.key, m_options.deadlineMs);
        {
            const std::lock_guard lock(m_mutex);
            m_results.push_back(result);
        }
        next += m_options.intervalMs;
        sleepUntilMs(next);
    }
}

// ---- Cases ------------------------------------------------------------------------------

std::optional<Arguments> Arguments::parse(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s GATEWAY-PROGRAM RECORD FOLDER\n", argv[0]);
        return std::nullopt;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    return Arguments{argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

bool waitUntilReady(const std::vector<Gateway *> &gateways, std::int64_t limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    while (nowMs() < until) {
        if (std::all_of(gateways.begin(), gateways.end(),
                        [](const Gateway *it) { return it->isReady(); }))
            return true;
        sleepMs(50);
    }
    return false;
}

} // namespace review

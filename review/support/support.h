// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-ins for the scripts of the review: the platform's store, replicas and clients, with
/// blocking sockets and threads on loopback addresses, and the start of gateway processes.

#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);
void sleepUntilMs(std::int64_t at);

/// Writes lines with the time to record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    FILE *m_file;
};

/// An HTTP/1.1 message.
struct Message
{
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isWhole = false; ///< read to the end that its framing declares

    std::string header(const std::string &name) const;
    std::string word(int n) const; ///< of the start line
    int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with a read buffer.
class Channel
{
public:
    explicit Channel(int fd) : m_fd(fd) { }
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Null if the connection fails.
    static std::shared_ptr<Channel> connect(const std::string &ip, int port);

    bool send(const std::string &bytes);
    /// Reads a message; nothing at the end of the channel, on a failure, and after \p timeoutMs.
    /// \p hasBody is false for the answer to a HEAD request, whose length fields declare no body.
    std::optional<Message> read(std::int64_t timeoutMs, bool isResponse, bool hasBody = true);
    /// Bytes that arrive within \p timeoutMs; they stay to be read.
    std::string peek(std::int64_t timeoutMs);
    /// Waits until the peer has closed the channel, at most until \p isOver.
    void waitForClose(const std::atomic<bool> &isOver);
    void shutdown();
    bool hasFailed() const { return m_failed; }

private:
    bool fill(std::int64_t until);

    int m_fd;
    std::string m_buffer;
    bool m_failed = false;
};

/// Accepts channels and serves each in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(std::shared_ptr<Channel>)>;

    Server(const std::string &ip, Serve serve);
    ~Server();

    int port() const { return m_port; }
    /// Ends the server as the exit of its process would: closes the listener and all channels.
    void exit();
    const std::atomic<bool> &isOver() const { return m_over; }

private:
    int m_fd = -1;
    int m_port = 0;
    Serve m_serve;
    std::atomic<bool> m_over{false};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Channel>> m_channels;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// The platform's store, as PROTOCOL.md describes it. It passes specs on as they were written.
class Store
{
public:
    explicit Store(Record &record);

    int port() const { return m_server.port(); }
    /// Another address of the store, which a silence does not concern.
    int otherPort() const { return m_otherServer.port(); }

    /// Writes an object as the operator, a replica or another program would. Returns the time of
    /// the acknowledgement.
    std::int64_t put(const std::string &kind, const std::string &name, const std::string &spec);
    std::int64_t remove(const std::string &kind, const std::string &name);

    /// As put(), after which the store is silent for \p ms: answers that are due in that time are
    /// lost. The channel of a lost answer returns nothing further.
    std::int64_t putThenFallSilent(const std::string &kind, const std::string &name,
                                   const std::string &spec, std::int64_t ms);
    int lostAnswers() const { return m_lost; }

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool removed = false;
    };

    void serve(const std::shared_ptr<Channel> &channel, bool maySilence);
    std::string answer(const Message &request);
    std::int64_t putLocked(const std::string &kind, const std::string &name,
                           const std::string &spec);
    bool isSilent();
    std::string watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs);
    std::string write(const std::string &method, const std::string &kind, const std::string &name,
                      const Message &request);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    std::int64_t m_silentUntil = 0;
    std::atomic<int> m_lost{0};
    Server m_server; ///< last, as the next: their threads use the other members
    Server m_otherServer;
};

/// A request that reached a replica.
struct Arrival
{
    std::int64_t at = 0;
    std::string replica;
    std::string service;
    std::string attempt;
    std::string path;
    bool ran = false; ///< false: answered with 421
};

/// All requests that reached replicas.
class Arrivals
{
public:
    void add(const Arrival &arrival);
    std::vector<Arrival> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_all;
};

/// A replica of a plain service.
class Replica
{
public:
    Replica(Record &record, Arrivals &arrivals, std::string id, std::string service, int workMs);

    /// Registers the replica, or changes its state. Returns the time of the acknowledgement.
    std::int64_t registerAt(Store &store, const std::string &state);
    std::string spec(const std::string &state) const;
    void exit() { m_server.exit(); }
    const std::string &id() const { return m_id; }
    int port() const { return m_server.port(); }

private:
    void serve(const std::shared_ptr<Channel> &channel);

    Record &m_record;
    Arrivals &m_arrivals;
    std::string m_id;
    std::string m_service;
    int m_workMs;
    std::atomic<std::uint64_t> m_answers{0};
    Server m_server; ///< last: its threads use the other members
};

/// A gateway process.
class Gateway
{
public:
    /// Settings as `platform/gateway.ini` renders them.
    struct Settings
    {
        std::string program;
        std::string folder; ///< for settings and output
        std::string name;
        std::string ip;
        int frontPort = 0; ///< listen.front; the following ports are readyAddr and control
        int peerPort = 0; ///< the first of internalPorts
        int storePort = 0;
        std::vector<std::string> seeds; ///< addresses of machines
        int configMs = 2000;
        int drainMs = 2000;
        double retryRatio = 0.2;
        int retrySlack = 54;
        int budgetWindowS = 10;
        int graceS = 8;
    };

    explicit Gateway(const Settings &settings) : m_settings(settings) { }
    ~Gateway();

    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// True if the process has ended by itself; \p status is that of waitpid().
    bool hasEnded(int *status);
    bool isReady() const;
    const std::string &ip() const { return m_settings.ip; }
    int frontPort() const { return m_settings.frontPort; }
    const std::string &name() const { return m_settings.name; }

private:
    Settings m_settings;
    pid_t m_pid = -1;
};

/// A port that is free on 127.0.0.1 to 127.0.0.9 for TCP and UDP, as are the next \p n - 1.
int findFreePorts(int n);

/// Result of a request of a client.
struct Result
{
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    std::string gateway;
    std::string attempt;
    int status = 0; ///< 0: the channel ended without a complete answer; -1: not connected
    Message answer;
};

/// Sends one request on \p channel, or on a new channel if it is null; records the result.
Result sendRequest(Record &record, const Gateway &gateway, std::shared_ptr<Channel> *channel,
                   const std::string &method, const std::string &host, const std::string &path,
                   const std::string &key, int deadlineMs);

/// A client that sends requests at a fixed rate to gateways in turn, on kept channels.
class Client
{
public:
    struct Options
    {
        std::string method = "GET";
        std::string host = "h.example";
        std::string path;
        std::string key = "key-1";
        int intervalMs = 100;
        int deadlineMs = 1500;
    };

    Client(Record &record, std::vector<Gateway *> gateways, Options options);
    ~Client() { stop(); }
    void stop();
    std::vector<Result> results() const;

private:
    void run();

    Record &m_record;
    std::vector<Gateway *> m_gateways;
    Options m_options;
    std::atomic<bool> m_over{false};
    mutable std::mutex m_mutex;
    std::vector<Result> m_results;
    std::thread m_thread;
};

/// Arguments of a case: GATEWAY-PROGRAM RECORD FOLDER. TROUBLE=0 in the environment leaves the
/// disruption out.
struct Arguments
{
    std::string program;
    std::string record;
    std::string folder;
    bool hasTrouble = true;

    static std::optional<Arguments> parse(int argc, char **argv);
};

/// Waits until all gateways are ready; false after \p limitMs.
bool waitUntilReady(const std::vector<Gateway *> &gateways, std::int64_t limitMs);

} // namespace review

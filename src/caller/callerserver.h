// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The caller's thread of a router: serves the HTTP/1.1 connections of client accounts.

#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/answerchannel.h>
#include <reachlead/http.h>
#include <reachlead/ringbuffer.h>

#include "caller/pressure.h"

namespace reachlead {

class CallerConnection;

/// Callbacks of the server into the dispatching thread.
struct CallerHooks
{
    /// Submits a request. Returns false when the queue of its tier is full.
    std::function<bool(Tier, CallerRequest, AnswerChannelPtr)> submit;
    /// Notifies the dispatching thread that the caller disconnected or consumed tokens.
    std::function<void(const AnswerChannelPtr &)> callerStateChanged;
};

/// Accepts callers' connections. The public functions may be called from any thread.
class CallerServer
{
public:
    struct Options
    {
        Endpoint listen;
        Incarnation incarnation;
        Counters *counters = nullptr;
        /// For each further one, the one that has been open longest to no use is closed; if all
        /// have a request in progress, the new one is.
        std::size_t maxConnections = 20000;
        std::size_t maxOpenRequests = 8192; ///< open requests; lower tiers are limited to a part
        std::uint32_t maxHeaderBytes = 16U << 10U;
        std::uint64_t maxBodyBytes = 1U << 20U;
        Duration headerTimeout = seconds(10);
        Duration bodyTimeout = seconds(30);
        Duration idleTimeout = seconds(75);
        Duration writeTimeout = seconds(30); ///< after which a stalled caller is disconnected
        /// Bounds the bytes held for requests.
        Pressure::Options pressure{.bounds = {.process = mebibytes(640), .call = mebibytes(640)}};
        /// What the kernel receives on a connection before it is read; 0: as the kernel decides.
        int receiveBufferBytes = 16 << 10;
    };

    CallerServer(Options options, CallerHooks hooks);
    ~CallerServer();

    std::uint16_t port() const { return m_port; }

    /// Notifies the caller's thread that a channel has events. Called by the dispatching thread.
    void notifyReady(AnswerChannelPtr channel);

    void setPolicies(PoliciesPtr policies);
    void setTargets(std::vector<TargetName> targets);

    /// Makes `/healthz` report that the router is stopping, so that balancers send no new callers.
    void beginStop();
    /// Stops accepting connections. Idle ones are closed now, the others after the current answer.
    void stopAccepting();
    /// Stops the thread and closes the connections; answers in progress are truncated.
    /// notifyReady() may still be called and has no effect.
    void join();
    /// Number of connections that have a request in progress.
    std::size_t busyConnections() const { return m_busy; }

private:
    friend class CallerConnection;

    void run();
    void listen();
    void accept();
    bool makeRoomForConnection();
    void handleReady();
    bool acquireSlot(Tier tier);
    void releaseSlot();
    RequestId nextId();
    PoliciesPtr policies() const;
    std::vector<TargetName> targets() const;

    Options m_options;
    CallerHooks m_hooks;
    std::list<std::weak_ptr<CallerConnection>> m_connections;
    std::map<AccountName, std::int64_t> m_accountConnections;
    std::uint64_t m_sequence = 0;
    std::size_t m_openRequests = 0;
    std::atomic<std::size_t> m_connectionCount{0};
    std::atomic<std::size_t> m_busy{0};
    std::atomic<bool> m_stopping{false};
    bool m_closing = false;
    mutable std::mutex m_mutex;
    PoliciesPtr m_policies; ///< guarded by m_mutex
    std::vector<TargetName> m_targets; ///< guarded by m_mutex
    // Destroying the io_context destroys the open connections, which use the members declared
    // above it.
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    RingBuffer<AnswerChannelPtr> m_ready;
    std::shared_ptr<Pressure> m_pressure; ///< used on the server's thread only
    std::thread m_thread;
};

} // namespace reachlead

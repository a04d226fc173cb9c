// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The caller's thread of a router: HTTP/1.1 connections of client accounts.

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

namespace reachlead {

class CallerConnection;

/// Where requests go, and what the server asks about the fleet.
struct CallerHooks
{
    /// Hands a request over; false when there is no room for its tier.
    std::function<bool(Tier, CallerRequest, AnswerChannelPtr)> submit;
    /// Has the other thread look at what the caller said.
    std::function<void(const AnswerChannelPtr &)> callerStateChanged;
};

/// Takes callers' requests. The public functions may be called from any thread.
class CallerServer
{
public:
    struct Options
    {
        Endpoint listen;
        Incarnation incarnation;
        Counters *counters = nullptr;
        std::size_t maxConnections = 20000;
        std::size_t maxOpenRequests =
            8192; ///< open requests; the lower tiers may fill less of them
        std::uint32_t maxHeaderBytes = 16U << 10U;
        std::uint64_t maxBodyBytes = 1U << 20U;
        Duration headerTimeout = seconds(10);
        Duration bodyTimeout = seconds(30);
        Duration idleTimeout = seconds(75);
        Duration writeTimeout = seconds(30); ///< a caller that takes nothing for so long is gone
    };

    CallerServer(Options options, CallerHooks hooks);
    ~CallerServer();

    std::uint16_t port() const { return m_port; }

    /// Tells this thread that a slot has events. Called by the dispatching thread.
    void notifyReady(AnswerChannelPtr slot);

    void setPolicies(PoliciesPtr policies);
    void setTargets(std::vector<TargetName> targets);

    /// Makes the health page say that no new callers should come.
    void beginStop();
    /// Stops accepting; idle connections end now, the others after their present answer.
    void stopAccepting();
    /// Ends the thread; what is in progress is cut. Announcements are still taken and do nothing.
    void join();
    /// Connections that still have a request in progress.
    std::size_t busyConnections() const { return m_busy; }

private:
    friend class CallerConnection;

    void run();
    void accept();
    void takeReady();
    bool takePlace(Tier tier);
    void givePlace();
    RequestId nextId();
    PoliciesPtr policies() const;
    std::vector<TargetName> targets() const;

    Options m_options;
    CallerHooks m_hooks;
    std::list<std::weak_ptr<CallerConnection>> m_connections;
    std::map<AccountName, std::int64_t> m_accountConnections;
    std::uint64_t m_sequence = 0;
    std::size_t m_open = 0;
    std::atomic<std::size_t> m_connectionCount{0};
    std::atomic<std::size_t> m_busy{0};
    std::atomic<bool> m_stopping{false};
    bool m_closing = false;
    mutable std::mutex m_mutex;
    PoliciesPtr m_policies; ///< guarded by m_mutex
    std::vector<TargetName> m_targets; ///< guarded by m_mutex
    // Connections that still stand end with the io_context and use what is declared above it.
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    RingBuffer<AnswerChannelPtr> m_ready;
    std::thread m_thread;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The upstream thread of an agent: carries calls to the one engine or plain service beside it.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/agentcore.h>
#include <reachlead/http.h>
#include <reachlead/ringbuffer.h>

namespace reachlead {

/// What the upstream did with an attempt.
struct UpstreamToken
{
    AttemptKey key;
    std::string text;
};
struct UpstreamDone
{
    AttemptKey key;
};
struct UpstreamAnswer
{
    AttemptKey key;
    HttpResponse reply;
    std::optional<Duration> retryAfter = std::nullopt; ///< for which it wants no calls
};
struct UpstreamFailure
{
    AttemptKey key;
    ErrorKind kind = ErrorKind::None;
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    std::optional<Duration> retryAfter = std::nullopt; ///< for which it wants no calls
    bool upstreamExited = false; ///< its process is gone, not the connection alone
};
using UpstreamEvent = std::variant<UpstreamToken, UpstreamDone, UpstreamAnswer, UpstreamFailure>;

/// The public functions may be called from any thread.
class UpstreamClient
{
public:
    struct Options
    {
        Endpoint upstream;
        Duration connectTimeout = seconds(2);
        Duration stallTimeout = seconds(20); ///< silence after which a stream is given up
        Duration serviceTimeout = seconds(60); ///< for a plain service's whole answer
        std::size_t ringSize = 8192;
    };

    /// \p wake is called when events wait; takeEvents() then gives them.
    UpstreamClient(Options options, std::function<void()> wake);
    ~UpstreamClient();

    /// Ends the thread; calls in progress are cut. Further commands do nothing.
    void join();
    void start(const StartUpstreamCall &call);
    void cancel(const CancelUpstreamCall &call);
    std::vector<UpstreamEvent> takeEvents() { return m_events.drain(); }

private:
    using Command = std::variant<StartUpstreamCall, CancelUpstreamCall>;
    using Awaitable = boost::asio::awaitable<void>;

    void takeCommands();
    void launch(const StartUpstreamCall &call);
    Awaitable callEngine(StartUpstreamCall call);
    Awaitable callService(StartUpstreamCall call);
    Awaitable emit(UpstreamEvent event);
    Awaitable emitLoss(UpstreamFailure failure);
    boost::asio::awaitable<bool> refusesConnections();

    Options m_options;
    std::map<AttemptKey, std::unique_ptr<boost::asio::cancellation_signal>> m_running;
    boost::asio::io_context m_io{1}; ///< ends before the signals its calls hold slots of
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    RingBuffer<Command> m_commands;
    RingBuffer<UpstreamEvent> m_events;
    std::thread m_thread;
};

} // namespace reachlead

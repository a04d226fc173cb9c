// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The upstream thread of an agent: calls the engine or plain service on the same VM.

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

/// A token of a streamed answer.
struct UpstreamToken
{
    AttemptKey key;
    std::string text;
};
/// The end of a streamed answer.
struct UpstreamDone
{
    AttemptKey key;
};
/// The answer of a plain service.
struct UpstreamAnswer
{
    AttemptKey key;
    HttpResponse reply;
    std::optional<Duration> retryAfter = std::nullopt; ///< backoff requested by the upstream
};
/// The failure of an attempt.
struct UpstreamFailure
{
    AttemptKey key;
    ErrorKind kind = ErrorKind::None;
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    std::optional<Duration> retryAfter = std::nullopt; ///< backoff requested by the upstream
    bool upstreamExited = false; ///< the process exited; not only the connection was lost
};
using UpstreamEvent = std::variant<UpstreamToken, UpstreamDone, UpstreamAnswer, UpstreamFailure>;

class SseCall;

/// The public functions may be called from any thread.
class UpstreamClient
{
public:
    struct Options
    {
        Endpoint upstream;
        Duration connectTimeout = seconds(2);
        Duration stallTimeout = seconds(20); ///< for each read of a stream
        /// For the end of a stream's body after its last event. A stream without one is whole.
        Duration endTimeout = seconds(1);
        Duration serviceTimeout = seconds(60); ///< for the full answer of a plain service
        std::size_t ringSize = 8192;
        Counters *counters = nullptr; ///< null: nothing is counted
    };

    /// \p wake is called when there are events for takeEvents().
    UpstreamClient(Options options, std::function<void()> wake);
    ~UpstreamClient();

    /// Stops the thread and aborts the calls in progress. Later commands have no effect.
    void join();
    void start(const StartUpstreamCall &call);
    void cancel(const CancelUpstreamCall &call);
    std::vector<UpstreamEvent> takeEvents() { return m_events.drain(); }

private:
    using Command = std::variant<StartUpstreamCall, CancelUpstreamCall>;
    using Awaitable = boost::asio::awaitable<void>;

    void handleCommands();
    void launch(const StartUpstreamCall &call);
    Awaitable callEngine(StartUpstreamCall call);
    Awaitable relayEvents(StartUpstreamCall call, SseCall *stream);
    Awaitable rejectAnswer(AttemptKey key, std::string_view fault);
    Awaitable callService(StartUpstreamCall call);
    Awaitable emit(UpstreamEvent event);
    Awaitable emitConnectionLoss(UpstreamFailure failure);
    boost::asio::awaitable<bool> refusesConnections();

    Options m_options;
    std::map<AttemptKey, std::unique_ptr<boost::asio::cancellation_signal>> m_running;
    boost::asio::io_context m_io{1}; ///< destroyed before m_running: calls use its slots
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    RingBuffer<Command> m_commands;
    RingBuffer<UpstreamEvent> m_events;
    std::thread m_thread;
};

} // namespace reachlead

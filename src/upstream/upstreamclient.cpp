// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/upstreamclient.h"

#include <algorithm>
#include <array>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <fmt/format.h>

#include <reachlead/completion.h>
#include <reachlead/log.h>
#include <reachlead/streams/eventfield.h>

#include "upstream/enginejson.h"
#include "upstream/enginestream.h"
#include "upstream/ssecall.h"

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// Timeout of the probe whether an upstream still listens, which delays the report of a lost call.
/// The upstream runs on the agent's VM, so that an exit completes in much less time.
constexpr Duration probeTimeout = milliseconds(200);
/// Delay before another probe of an upstream that closed the connection of the last one.
constexpr Duration probeInterval = milliseconds(5);

/// The failure for an engine's answer with a status other than 200.
UpstreamFailure statusFailure(const AttemptKey &key, unsigned status)
{
    const std::string reason = fmt::format("engine answered with status {}", status);
    if (status == 429 || status == 503)
        return {key, ErrorKind::UpstreamRefused, Outcome::NotRun, reason};
    if (status >= 400 && status < 500)
        return {key, ErrorKind::BadRequest, Outcome::NotRun, reason};
    return {key, ErrorKind::UpstreamLost, Outcome::Unknown, reason};
}

/// False if an answer names another type than an event stream.
bool mayBeEvents(std::string_view contentType)
{
    return contentType.empty() || isEventStreamType(contentType);
}

} // namespace

UpstreamClient::UpstreamClient(Options options, std::function<void()> wake)
    : m_options(std::move(options)), m_work(m_io.get_executor()),
      m_commands(m_options.ringSize, [this] { asio::post(m_io, [this] { handleCommands(); }); }),
      m_events(m_options.ringSize, std::move(wake)), m_thread([this] { m_io.run(); })
{ }

UpstreamClient::~UpstreamClient()
{
    join();
}

void UpstreamClient::join()
{
    if (!m_thread.joinable())
        return;
    m_work.reset();
    m_io.stop();
    m_thread.join();
}

void UpstreamClient::start(const StartUpstreamCall &call)
{
    // Each attempt has at most one start and one cancel, and the agent's admission window limits
    // the number of attempts, so this ring is never full.
    if (!m_commands.push(call))
        LogLine(LogLevel::Error, "ring-full").with("ring", "upstream-commands");
}

void UpstreamClient::cancel(const CancelUpstreamCall &call)
{
    if (!m_commands.push(call))
        LogLine(LogLevel::Error, "ring-full").with("ring", "upstream-commands");
}

void UpstreamClient::handleCommands()
{
    for (const Command &command : m_commands.drain()) {
        if (const auto *call = std::get_if<StartUpstreamCall>(&command)) {
            launch(*call);
        } else {
            const auto it = m_running.find(std::get<CancelUpstreamCall>(command).key);
            if (it != m_running.end())
                it->second->emit(asio::cancellation_type::terminal);
        }
    }
}

void UpstreamClient::launch(const StartUpstreamCall &call)
{
    auto &signal = m_running[call.key];
    signal = std::make_unique<asio::cancellation_signal>();
    const AttemptKey key = call.key;
    auto onCompleted = asio::bind_cancellation_slot(
        signal->slot(), [this, key](const std::exception_ptr &) { m_running.erase(key); });
    if (call.dispatch->stream)
        asio::co_spawn(m_io, callEngine(call), std::move(onCompleted));
    else
        asio::co_spawn(m_io, callService(call), std::move(onCompleted));
}

/// Queues an event. While the ring is full, it waits and so applies back-pressure to this engine's
/// connection only.
UpstreamClient::Awaitable UpstreamClient::emit(UpstreamEvent event)
{
    while (!m_events.push(event)) {
        Timer timer(m_io, milliseconds(1));
        co_await timer.async_wait(asTuple);
    }
}

/// Reports the loss of a call that was sent. A lost connection alone does not mean that the process
/// exited: an upstream may close a connection and keep running.
UpstreamClient::Awaitable UpstreamClient::emitConnectionLoss(UpstreamFailure failure)
{
    failure.upstreamExited = co_await refusesConnections();
    co_await emit(std::move(failure));
}

/// Returns whether the upstream stopped listening. An exiting process may accept connections for
/// some time after it has lost those in use, and then closes them, so one must stay open.
asio::awaitable<bool> UpstreamClient::refusesConnections()
{
    const Time limit = RuntimeClock::now() + probeTimeout;
    const asio::ip::tcp::endpoint to(asio::ip::make_address(m_options.upstream.address),
                                     m_options.upstream.port);
    while (RuntimeClock::now() < limit) {
        beast::tcp_stream stream(m_io);
        stream.expires_after(limit - RuntimeClock::now());
        const auto [connectError] = co_await stream.async_connect(to, asTuple);
        if (connectError)
            co_return connectError == asio::error::connection_refused;
        std::array<char, 1> buf{};
        const auto [readError, n] = co_await stream.async_read_some(asio::buffer(buf), asTuple);
        if (!readError || readError == beast::error::timeout)
            co_return false;
        Timer timer(m_io, probeInterval);
        co_await timer.async_wait(asTuple);
    }
    co_return false;
}

UpstreamClient::Awaitable UpstreamClient::callEngine(StartUpstreamCall call)
{
    const AttemptKey key = call.key;
    const std::optional<std::string> body = engineRequestBody(*call.dispatch);
    if (!body) {
        UpstreamFailure failure{key, ErrorKind::BadRequest, Outcome::NotRun,
                                "body is not a JSON object"};
        co_await emit(std::move(failure));
        co_return;
    }
    const SseCall::Timeouts timeouts{m_options.connectTimeout, m_options.stallTimeout};
    SseCall stream(m_io.get_executor(), m_options.upstream, timeouts);
    std::string reason = co_await stream.connect();
    if (!reason.empty()) {
        UpstreamFailure failure{key, ErrorKind::UpstreamUnreachable, Outcome::NotRun, reason};
        co_await emit(std::move(failure));
        co_return;
    }
    HttpRequest request{"POST", call.dispatch->call.path, {}, *body};
    reason = co_await stream.send(std::move(request));
    if (!reason.empty()) {
        UpstreamFailure failure{key, ErrorKind::UpstreamLost, Outcome::Unknown, reason};
        co_await emitConnectionLoss(std::move(failure));
        co_return;
    }
    if (stream.status() != 200) {
        UpstreamFailure failure = statusFailure(key, stream.status());
        failure.retryAfter = parseRetryAfter(stream.status(), stream.header("Retry-After"));
        co_await emit(std::move(failure));
        co_return;
    }
    if (!mayBeEvents(stream.header("Content-Type"))) {
        co_await rejectAnswer(key, "body that is no event stream");
        co_return;
    }
    co_await relayEvents(call, &stream);
}

/// Passes on the tokens of a streamed answer. The tokens before a fault are passed on, as another
/// engine may resume the answer behind them.
UpstreamClient::Awaitable UpstreamClient::relayEvents(StartUpstreamCall call, SseCall *stream)
{
    const AttemptKey key = call.key;
    EngineStream events(call.dispatch->resumeFrom);
    std::string reason;
    std::optional<Time> endLimit; ///< for the end of the body after the last event
    while (events.fault().empty() && (!endLimit || RuntimeClock::now() < *endLimit)) {
        const std::string_view bytes = co_await stream->readSome(&reason);
        if (bytes.empty())
            break;
        for (std::string &text : events.feed(bytes)) {
            UpstreamToken token{key, std::move(text)};
            co_await emit(std::move(token));
        }
        if (events.isDone() && !endLimit) {
            endLimit = RuntimeClock::now() + m_options.endTimeout;
            stream->setReadTimeout(m_options.endTimeout);
        }
    }
    events.endBody();
    if (!events.fault().empty()) {
        co_await rejectAnswer(key, events.fault());
    } else if (events.isDone()) {
        UpstreamDone done{key};
        co_await emit(done);
    } else {
        const ErrorKind kind =
            stream->timedOut() ? ErrorKind::UpstreamStalled : ErrorKind::UpstreamLost;
        UpstreamFailure failure{key, kind, Outcome::Ran, reason};
        co_await emitConnectionLoss(std::move(failure));
    }
}

/// Ends a call because of an answer that cannot be the one to its request.
UpstreamClient::Awaitable UpstreamClient::rejectAnswer(AttemptKey key, std::string_view fault)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(Counter::AnswersRejected);
    LogLine(LogLevel::Warn, "event-rejected")
        .with("request", toString(key.id))
        .with("attempt", static_cast<std::uint64_t>(key.attempt))
        .with("reason", fault);
    UpstreamFailure failure{key, ErrorKind::UpstreamLost, Outcome::Ran,
                            fmt::format("invalid answer: {}", fault)};
    co_await emit(std::move(failure));
}

UpstreamClient::Awaitable UpstreamClient::callService(StartUpstreamCall call)
{
    const AttemptKey key = call.key;
    const Call &source = call.dispatch->call;
    HttpRequest request{source.method, source.path, source.headers, source.body};
    request.headers.push_back({"Reachlead-Request-Id", toString(key.id)});
    std::string reason;
    CallProgress progress{};
    auto reply = co_await httpCall(m_options.upstream, std::move(request), m_options.serviceTimeout,
                                   &reason, &progress);
    if (reply) {
        const auto it = std::ranges::find_if(reply->headers, [](const Header &header) {
            return boost::beast::iequals(header.name, "Retry-After");
        });
        const std::string retryAfter = it == reply->headers.end() ? std::string() : it->value;
        const auto backoff = parseRetryAfter(reply->status, retryAfter);
        UpstreamAnswer answer{key, std::move(*reply), backoff};
        co_await emit(std::move(answer));
        co_return;
    }
    const bool sent = progress != CallProgress::NotConnected;
    if (!sent) {
        UpstreamFailure failure{key, ErrorKind::UpstreamUnreachable, Outcome::NotRun, reason};
        co_await emit(std::move(failure));
        co_return;
    }
    UpstreamFailure failure{key, ErrorKind::UpstreamLost, Outcome::Unknown, reason};
    co_await emitConnectionLoss(std::move(failure));
}

} // namespace reachlead

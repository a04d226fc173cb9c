// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/upstreamclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <reachlead/log.h>

#include "upstream/enginecall.h"
#include "upstream/sse.h"

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readSize = 16U << 10U;

/// A whole run of one engine call, apart from its thread: connects, sends, and reads the stream.
class EngineStream
{
public:
    EngineStream(const asio::any_io_executor &executor, const UpstreamClient::Options &options)
        : m_stream(executor), m_options(options)
    { }

    /// Connects; a reason when it failed.
    asio::awaitable<std::string> connect()
    {
        m_stream.expires_after(m_options.connectLimit);
        const tcp::endpoint to(asio::ip::make_address(m_options.upstream.address),
                               m_options.upstream.port);
        const auto [ec] = co_await m_stream.async_connect(to, quietly);
        beast::error_code ignored;
        if (!ec)
            m_stream.socket().set_option(tcp::no_delay(true), ignored);
        co_return ec ? ec.message() : std::string();
    }

    /// Sends the request and reads the header of the answer; a reason when it failed.
    asio::awaitable<std::string> ask(std::string path, std::string body)
    {
        http::request<http::string_body> request(http::verb::post, path, 11);
        request.set(http::field::host, m_options.upstream.text());
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
        request.prepare_payload();
        m_stream.expires_after(m_options.stallLimit);
        const auto [writeError, n] = co_await http::async_write(m_stream, request, quietly);
        if (writeError)
            co_return writeError.message();
        m_parser.body_limit(boost::none);
        const auto [ec, m] =
            co_await http::async_read_header(m_stream, m_buffer, m_parser, quietly);
        co_return ec ? ec.message() : std::string();
    }

    unsigned status() { return m_parser.get().result_int(); }

    /// Reads some bytes of the answer's body; empty with \p reason set when there are no more.
    asio::awaitable<std::string_view> readSome(std::string *reason)
    {
        while (!m_parser.is_done()) {
            m_parser.get().body().data = m_bytes.data();
            m_parser.get().body().size = m_bytes.size();
            m_stream.expires_after(m_options.stallLimit);
            const auto [ec, n] =
                co_await http::async_read_some(m_stream, m_buffer, m_parser, quietly);
            const std::size_t got = m_bytes.size() - m_parser.get().body().size;
            if (got > 0)
                co_return std::string_view(m_bytes.data(), got);
            if (ec && ec != http::error::need_buffer) {
                m_stalled = ec == beast::error::timeout;
                *reason = ec.message();
                co_return std::string_view();
            }
        }
        *reason = "the stream ended without its last event";
        co_return std::string_view();
    }

    bool stalled() const { return m_stalled; }

private:
    beast::tcp_stream m_stream;
    const UpstreamClient::Options &m_options;
    beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, readSize> m_bytes{};
    bool m_stalled = false;
};

/// What an engine's status line says of a call that gave no stream.
UpstreamFailure failureOf(const AttemptKey &key, unsigned status)
{
    const std::string reason = fmt::format("engine answered {}", status);
    if (status == 429 || status == 503)
        return {key, ErrorKind::UpstreamRefused, Outcome::NotRun, reason};
    if (status >= 400 && status < 500)
        return {key, ErrorKind::BadRequest, Outcome::NotRun, reason};
    return {key, ErrorKind::UpstreamLost, Outcome::Unknown, reason};
}

} // namespace

UpstreamClient::UpstreamClient(Options options, std::function<void()> wake)
    : m_options(std::move(options)), m_work(m_io.get_executor()),
      m_commands(m_options.ringSize, [this] { asio::post(m_io, [this] { takeCommands(); }); }),
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

void UpstreamClient::start(const StartUpstream &call)
{
    // Each attempt brings at most a start and a cancel, and the gate's window bounds the attempts,
    // so this ring is never full.
    if (!m_commands.push(call))
        LogLine(LogLevel::Error, "ring-full").with("ring", "upstream-commands");
}

void UpstreamClient::cancel(const CancelUpstream &call)
{
    if (!m_commands.push(call))
        LogLine(LogLevel::Error, "ring-full").with("ring", "upstream-commands");
}

void UpstreamClient::takeCommands()
{
    for (const Command &command : m_commands.drain()) {
        if (const auto *call = std::get_if<StartUpstream>(&command)) {
            launch(*call);
        } else {
            const auto it = m_running.find(std::get<CancelUpstream>(command).key);
            if (it != m_running.end())
                it->second->emit(asio::cancellation_type::terminal);
        }
    }
}

void UpstreamClient::launch(const StartUpstream &call)
{
    auto &signal = m_running[call.key];
    signal = std::make_unique<asio::cancellation_signal>();
    const AttemptKey key = call.key;
    auto whenDone = asio::bind_cancellation_slot(
        signal->slot(), [this, key](const std::exception_ptr &) { m_running.erase(key); });
    if (call.dispatch->stream)
        asio::co_spawn(m_io, callEngine(call), std::move(whenDone));
    else
        asio::co_spawn(m_io, callService(call), std::move(whenDone));
}

/// Hands an event over. A full ring makes the reader wait, which in the end holds up the engine's
/// connection and nothing else.
UpstreamClient::Awaitable UpstreamClient::emit(UpstreamEvent event)
{
    while (!m_events.push(event)) {
        Timer pause(m_io, milliseconds(1));
        co_await pause.async_wait(quietly);
    }
}

UpstreamClient::Awaitable UpstreamClient::callEngine(StartUpstream call)
{
    const AttemptKey key = call.key;
    const std::optional<std::string> body = engineBody(*call.dispatch);
    if (!body) {
        UpstreamFailure failure{key, ErrorKind::BadRequest, Outcome::NotRun, "body is not JSON"};
        co_await emit(std::move(failure));
        co_return;
    }
    EngineStream stream(m_io.get_executor(), m_options);
    std::string reason = co_await stream.connect();
    if (!reason.empty()) {
        UpstreamFailure failure{key, ErrorKind::UpstreamUnreachable, Outcome::NotRun, reason};
        co_await emit(std::move(failure));
        co_return;
    }
    reason = co_await stream.ask(call.dispatch->call.path, *body);
    if (!reason.empty()) {
        UpstreamFailure failure{key, ErrorKind::UpstreamLost, Outcome::Unknown, reason};
        co_await emit(std::move(failure));
        co_return;
    }
    if (stream.status() != 200) {
        UpstreamFailure failure = failureOf(key, stream.status());
        co_await emit(std::move(failure));
        co_return;
    }
    SseDecoder decoder;
    for (;;) {
        const std::string_view bytes = co_await stream.readSome(&reason);
        const auto events = decoder.feed(bytes);
        if (bytes.empty() || !events) {
            const ErrorKind kind =
                stream.stalled() ? ErrorKind::UpstreamStalled : ErrorKind::UpstreamLost;
            UpstreamFailure failure{key, kind, Outcome::Ran, reason};
            co_await emit(std::move(failure));
            co_return;
        }
        for (const std::string &data : *events) {
            EngineEvent event = readEngineEvent(data);
            if (event.kind == EngineEvent::Kind::Text) {
                UpstreamToken token{key, std::move(event.text)};
                co_await emit(std::move(token));
            } else if (event.kind == EngineEvent::Kind::Done) {
                UpstreamDone done{key};
                co_await emit(done);
                co_return;
            } else if (event.kind == EngineEvent::Kind::Broken) {
                UpstreamFailure failure{key, ErrorKind::UpstreamLost, Outcome::Ran,
                                        "event not understood"};
                co_await emit(std::move(failure));
                co_return;
            }
        }
    }
}

UpstreamClient::Awaitable UpstreamClient::callService(StartUpstream call)
{
    const AttemptKey key = call.key;
    const Call &from = call.dispatch->call;
    HttpAsk ask{from.method, from.path, from.headers, from.body};
    ask.headers.push_back({"Reachlead-Request-Id", toString(key.id)});
    std::string reason;
    CallProgress progress{};
    auto reply = co_await httpCall(m_options.upstream, std::move(ask), m_options.serviceLimit,
                                   &reason, &progress);
    if (reply) {
        UpstreamAnswer answer{key, std::move(*reply)};
        co_await emit(std::move(answer));
        co_return;
    }
    const bool sent = progress != CallProgress::NotConnected;
    UpstreamFailure failure{key, sent ? ErrorKind::UpstreamLost : ErrorKind::UpstreamUnreachable,
                            sent ? Outcome::Unknown : Outcome::NotRun, reason};
    co_await emit(std::move(failure));
}

} // namespace reachlead

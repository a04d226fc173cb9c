// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/callerconnection.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include <reachlead/log.h>

#include "caller/callerserver.h"
#include "caller/headers.h"

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view idHeader = "Reachlead-Request-Id";
constexpr std::string_view outcomeHeader = "Reachlead-Outcome";
constexpr std::string_view kindHeader = "Reachlead-Kind";

std::string chunked(std::string_view data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

} // namespace

CallerConnection::CallerConnection(CallerServer &server, asio::ip::tcp::socket socket)
    : m_server(server), m_socket(std::move(socket)), m_limit(m_socket.get_executor()),
      m_signal(m_socket.get_executor())
{
    beast::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    ++m_server.m_connectionCount;
    m_server.m_options.counters->adjust(Gauge::OpenConnections, 1);
}

CallerConnection::~CallerConnection()
{
    --m_server.m_connectionCount;
    m_server.m_options.counters->adjust(Gauge::OpenConnections, -1);
    if (!m_countedFor.empty() && --m_server.m_accountConnections[m_countedFor] <= 0)
        m_server.m_accountConnections.erase(m_countedFor);
}

void CallerConnection::closeIfIdle()
{
    if (!m_idle)
        return;
    beast::error_code ignored;
    m_socket.close(ignored);
}

void CallerConnection::setLimit(Duration limit)
{
    const std::uint64_t round = ++m_limitRound;
    m_timedOut = false;
    m_limit.expires_after(limit);
    m_limit.async_wait([weak = weak_from_this(), round](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || self->m_limitRound != round)
            return;
        self->m_timedOut = true;
        beast::error_code ignored;
        self->m_socket.cancel(ignored);
    });
}

void CallerConnection::clearLimit()
{
    ++m_limitRound;
    m_limit.cancel();
}

asio::awaitable<void> CallerConnection::run()
{
    const auto self = shared_from_this();
    bool more = true;
    while (more && !m_server.m_closing) {
        if (!co_await waitForRequest())
            break;
        // From its first byte on, a request holds up a planned stop.
        m_idle = false;
        ++m_server.m_busy;
        std::optional<Request> request = co_await readRequest();
        more = request && co_await serve(std::move(*request));
        --m_server.m_busy;
        m_idle = true;
    }
    clearLimit();
    beast::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Waits for the first byte of the next request; false when none comes.
asio::awaitable<bool> CallerConnection::waitForRequest()
{
    if (m_buffer.size() > 0)
        co_return true;
    setLimit(m_server.m_options.idleTimeout);
    const auto [ec] = co_await m_socket.async_wait(asio::socket_base::wait_read, quietly);
    clearLimit();
    co_return !ec && !m_timedOut;
}

/// Reads one request. A wrong or slow one gets its answer here, and the connection ends.
asio::awaitable<std::optional<CallerConnection::Request>> CallerConnection::readRequest()
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_server.m_options.maxHeaderBytes);
    parser.body_limit(m_server.m_options.maxBodyBytes);
    setLimit(m_server.m_options.headerTimeout);
    auto [ec, n] = co_await http::async_read_header(m_socket, m_buffer, parser, quietly);
    if (!ec) {
        if (toStringView(parser.get()[http::field::expect]) == "100-continue"
            && !co_await write("HTTP/1.1 100 Continue\r\n\r\n"))
            co_return std::nullopt;
        setLimit(m_server.m_options.bodyTimeout);
        const auto [bodyError, m] = co_await http::async_read(m_socket, m_buffer, parser, quietly);
        ec = bodyError;
    }
    clearLimit();
    if (!ec)
        co_return parser.release();
    ErrorKind kind = ErrorKind::BadRequest;
    if (m_timedOut)
        kind = ErrorKind::SlowSender;
    else if (ec == http::error::body_limit)
        kind = ErrorKind::BodyTooLarge;
    else if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        kind = ErrorKind::HeaderTooLarge;
    else if (ec == http::error::end_of_stream
             || ec.category() != http::make_error_code(http::error::bad_method).category())
        co_return std::nullopt; // the connection ended; there is nobody to tell
    Refusal refusal{kind, ec.message()};
    co_await refuse(std::move(refusal), false);
    co_return std::nullopt;
}

asio::awaitable<bool> CallerConnection::serve(Request request)
{
    bool served = false;
    bool more = co_await servePage(request, &served);
    if (!served) {
        Exchange taken;
        Refusal refusal = admit(request, &taken);
        if (refusal.kind == ErrorKind::None)
            more = co_await exchange(std::move(taken));
        else
            more = co_await refuse(std::move(refusal), request.keep_alive());
    }
    co_return more;
}

/// Serves the pages that need no upstream.
asio::awaitable<bool> CallerConnection::servePage(const Request &request, bool *served)
{
    const std::string_view path = toStringView(request.target());
    *served = true;
    if (path == "/healthz") {
        const bool well = !m_server.m_stopping && m_server.policies();
        std::string body = well ? "ok\n" : "stopping or without settings\n";
        co_return co_await writeWhole(well ? 200 : 503, {}, std::move(body), request.keep_alive());
    }
    if (path == "/v1/models" && request.method() == http::verb::get) {
        const PoliciesPtr policies = m_server.policies();
        const AccountPolicy *account = nullptr;
        Exchange ignored;
        Refusal refusal{ErrorKind::SettingsAbsent, ""};
        if (policies)
            refusal = identify(request, &ignored, *policies, &account);
        if (refusal.kind != ErrorKind::None)
            co_return co_await refuse(std::move(refusal), request.keep_alive());
        constexpr std::string_view prefix = "model:";
        std::string list;
        for (const TargetName &target : m_server.targets()) {
            if (!target.text.starts_with(prefix))
                continue;
            list +=
                fmt::format(R"({}{{"id":{},"object":"model","owned_by":"reachlead"}})",
                            list.empty() ? "" : ",", quoteJson(target.text.substr(prefix.size())));
        }
        std::string body = fmt::format(R"({{"object":"list","data":[{}]}})", list);
        std::vector<Header> headers{{"Content-Type", "application/json"}};
        co_return co_await writeWhole(200, std::move(headers), std::move(body),
                                      request.keep_alive());
    }
    *served = false;
    co_return true;
}

// ---- exchange ---------------------------------------------------------------------------

asio::awaitable<bool> CallerConnection::exchange(Exchange exchange)
{
    const RequestId id = m_server.nextId();
    exchange.ask.id = id;
    exchange.head = exchange.ask.call.method == "HEAD";
    if (!m_server.takePlace(exchange.tier)) {
        const AnswerResult end{ErrorKind::OpenRequests, Outcome::NotRun, "", 0};
        m_server.m_options.counters->refused(end.kind);
        co_return co_await writeError(id, end, exchange.keepAlive);
    }
    const auto slot = std::make_shared<AnswerChannel>(id);
    slot->onReady = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->m_signal.cancel();
    };
    bool more = false;
    if (!m_server.m_hooks.submit(exchange.tier, exchange.ask, slot)) {
        const AnswerResult end{ErrorKind::OpenRequests, Outcome::NotRun, "ring full", 0};
        m_server.m_options.counters->refused(end.kind);
        more = co_await writeError(id, end, exchange.keepAlive);
    } else {
        exchange.ask.call = Call(); // the copy handed over is the one that is used
        m_gone = false;
        watchForGone();
        if (exchange.stream)
            more = co_await streamAnswer(exchange, slot);
        else
            more = co_await wholeAnswer(exchange, slot);
        if (m_gone && slot->setDisconnected())
            m_server.m_hooks.callerStateChanged(slot);
        beast::error_code ignored;
        m_socket.cancel(ignored); // ends the watch
    }
    m_server.givePlace();
    co_return more &&exchange.keepAlive && !m_gone && !m_server.m_closing;
}

/// Sees the caller close its connection while it has a request in progress. A caller that closes
/// only its sending side counts as gone too.
void CallerConnection::watchForGone()
{
    if (std::exchange(m_watching, true))
        return;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](boost::system::error_code ec) {
                            self->m_watching = false;
                            if (ec)
                                return;
                            char byte = 0;
                            beast::error_code peekError;
                            const std::size_t n = self->m_socket.receive(
                                asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
                            if (n > 0)
                                return; // the next request came early; it waits
                            self->m_gone = true;
                            self->m_signal.cancel();
                        });
}

asio::awaitable<std::vector<CallerEvent>> CallerConnection::nextEvents(AnswerChannelPtr slot)
{
    for (;;) {
        std::vector<CallerEvent> events = slot->take();
        if (!events.empty() || m_gone)
            co_return events;
        m_signal.expires_at(Time::max());
        co_await m_signal.async_wait(quietly);
    }
}

void CallerConnection::tookTokens(const AnswerChannelPtr &slot, std::uint64_t tokens)
{
    if (tokens > 0 && slot->addConsumed(tokens))
        m_server.m_hooks.callerStateChanged(slot);
}

asio::awaitable<bool> CallerConnection::streamAnswer(const Exchange &exchange,
                                                     AnswerChannelPtr slot)
{
    const AnswerWriter writer(*exchange.completion, slot->id(), exchange.model);
    bool begun = false;
    for (;;) {
        const std::vector<CallerEvent> events = co_await nextEvents(slot);
        if (m_gone)
            co_return false;
        std::string out;
        std::uint64_t tokens = 0;
        const AnswerResult *end = nullptr;
        for (const CallerEvent &event : events) {
            if (const auto *text = std::get_if<AnswerText>(&event)) {
                out += chunked(writer.chunk(text->text));
                tokens += text->tokens;
            } else {
                end = std::get_if<AnswerResult>(&event);
            }
        }
        const bool whole = end && end->kind == ErrorKind::None;
        if (end && !whole && !begun && out.empty())
            co_return co_await writeError(slot->id(), *end, exchange.keepAlive);
        if (whole)
            out += chunked(writer.finish(end->tokens)) + "0\r\n\r\n";
        else if (end) // an answer cut short: said in an event, and the last chunk never comes
            out += chunked(fmt::format(
                "data: {}\n\n", errorJson(end->kind, end->outcome, slot->id(), end->reason)));
        if (!begun)
            out.insert(0,
                       fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
                                   "{}: {}\r\n\r\n",
                                   idHeader, toString(slot->id())));
        begun = true;
        if (!co_await write(std::move(out))) {
            m_gone = true;
            co_return false;
        }
        tookTokens(slot, tokens);
        if (end)
            co_return whole;
    }
}

asio::awaitable<bool> CallerConnection::wholeAnswer(const Exchange &exchange, AnswerChannelPtr slot)
{
    std::string text;
    std::optional<ServiceResponse> whole;
    std::optional<AnswerResult> end;
    while (!end) {
        const std::vector<CallerEvent> events = co_await nextEvents(slot);
        if (m_gone)
            co_return false;
        std::uint64_t tokens = 0;
        for (const CallerEvent &event : events) {
            if (const auto *piece = std::get_if<AnswerText>(&event)) {
                text += piece->text;
                tokens += piece->tokens;
            } else if (const auto *answer = std::get_if<ServiceResponse>(&event)) {
                whole = *answer;
            } else {
                end = std::get<AnswerResult>(event);
            }
        }
        tookTokens(slot, tokens);
    }
    if (end->kind != ErrorKind::None)
        co_return co_await writeError(slot->id(), *end, exchange.keepAlive);
    std::vector<Header> headers{{std::string(idHeader), toString(slot->id())},
                                {std::string(outcomeHeader), std::string(toString(end->outcome))}};
    if (exchange.completion) {
        const AnswerWriter writer(*exchange.completion, slot->id(), exchange.model);
        headers.push_back({"Content-Type", "application/json"});
        co_return co_await writeWhole(200, std::move(headers), writer.fullAnswer(text, end->tokens),
                                      exchange.keepAlive);
    }
    std::ranges::copy_if(whole->headers, std::back_inserter(headers),
                         [](const Header &header) { return !isStrippedHeader(header.name); });
    co_return co_await writeWhole(whole->status, std::move(headers), std::move(whole->body),
                                  exchange.keepAlive, exchange.head);
}

// ---- writing ----------------------------------------------------------------------------

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    setLimit(m_server.m_options.writeTimeout);
    const auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(bytes), quietly);
    clearLimit();
    co_return !ec;
}

asio::awaitable<bool> CallerConnection::writeWhole(unsigned status, std::vector<Header> headers,
                                                   std::string body, bool keepAlive, bool head)
{
    const bool keep = keepAlive && !m_server.m_closing;
    const auto reason = toStringView(http::obsolete_reason(static_cast<http::status>(status)));
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    for (const Header &header : headers)
        out += fmt::format("{}: {}\r\n", header.name, header.value);
    out += fmt::format("Content-Length: {}\r\nConnection: {}\r\n\r\n", body.size(),
                       keep ? "keep-alive" : "close");
    if (!head)
        out += body;
    const bool written = co_await write(std::move(out));
    co_return written &&keep;
}

asio::awaitable<bool> CallerConnection::writeError(const RequestId &id, const AnswerResult &end,
                                                   bool keepAlive)
{
    const ErrorRow &row = errorRow(end.kind);
    std::vector<Header> headers{{"Content-Type", "application/json"},
                                {std::string(idHeader), toString(id)},
                                {std::string(outcomeHeader), std::string(toString(end.outcome))},
                                {std::string(kindHeader), std::string(row.name)}};
    if (row.retryAfter)
        headers.push_back({"Retry-After", std::to_string(row.retryAfter->count())});
    LogLine(LogLevel::Info, "request-refused")
        .with("request", toString(id))
        .with("kind", row.name)
        .with("outcome", toString(end.outcome))
        .with("reason", end.reason);
    std::string body = errorJson(end.kind, end.outcome, id, end.reason);
    co_return co_await writeWhole(row.status, std::move(headers), std::move(body), keepAlive);
}

asio::awaitable<bool> CallerConnection::refuse(Refusal refusal, bool keepAlive)
{
    m_server.m_options.counters->refused(refusal.kind);
    const AnswerResult end{refusal.kind, Outcome::NotRun, std::move(refusal.reason), 0};
    co_return co_await writeError(m_server.nextId(), end, keepAlive);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/callerconnection.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include <reachlead/apikey.h>
#include <reachlead/completion.h>
#include <reachlead/log.h>

#include "caller/callerserver.h"
#include "caller/headers.h"

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view idHeader = "Reachlead-Request-Id";
constexpr std::string_view outcomeHeader = "Reachlead-Outcome";
constexpr std::string_view kindHeader = "Reachlead-Kind";

/// Bytes of a body are held as received, in the queue, and in the frame to the agent.
constexpr std::uint64_t bodyCopies = 3;

ByteCount headCost(const http::fields &fields)
{
    std::uint64_t bytes = 0;
    std::uint64_t lines = 0;
    for (const auto &field : fields) {
        bytes += field.name_string().size() + field.value().size();
        ++lines;
    }
    return Pressure::headCost(bytes, lines);
}

std::string chunked(std::string_view data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

} // namespace

CallerConnection::CallerConnection(CallerServer &server, asio::ip::tcp::socket socket)
    : m_server(server), m_socket(std::move(socket)),
      m_buffer(server.m_options.maxHeaderBytes + maxUnparsedBytes),
      m_deadline(m_socket.get_executor()), m_wakeup(m_socket.get_executor()),
      m_roomGranted(m_socket.get_executor())
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
    if (!m_countedAccount.empty() && --m_server.m_accountConnections[m_countedAccount] <= 0)
        m_server.m_accountConnections.erase(m_countedAccount);
}

void CallerConnection::closeIfIdle()
{
    if (!m_idle)
        return;
    beast::error_code ignored;
    m_socket.close(ignored);
}

std::optional<Duration> CallerConnection::unproductiveTime(Time now) const
{
    if (!m_waitsSince || m_isYielding)
        return std::nullopt;
    return now - *m_waitsSince;
}

void CallerConnection::yield()
{
    m_isYielding = true;
    m_roomGranted.notify();
    beast::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerConnection::setDeadline(Duration timeout)
{
    const std::uint64_t generation = ++m_deadlineGeneration;
    m_timedOut = false;
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([weak = weak_from_this(), generation](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || self->m_deadlineGeneration != generation)
            return;
        self->m_timedOut = true;
        beast::error_code ignored;
        self->m_socket.cancel(ignored);
    });
}

void CallerConnection::clearDeadline()
{
    ++m_deadlineGeneration;
    m_deadline.cancel();
}

asio::awaitable<void> CallerConnection::run()
{
    const auto self = shared_from_this();
    bool more = true;
    while (more && !m_server.m_closing) {
        m_waitsSince = RuntimeClock::now();
        if (!co_await waitForRequest())
            break;
        m_waitsSince = RuntimeClock::now();
        // A planned stop waits for a request from its first byte on.
        m_idle = false;
        ++m_server.m_busy;
        std::optional<Request> request = co_await readRequest();
        m_waitsSince.reset();
        more = request && co_await serve(std::move(*request));
        m_lease = {};
        --m_server.m_busy;
        m_idle = true;
    }
    clearDeadline();
    beast::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Waits for the first byte of the next request. Returns false on a timeout or a disconnect.
asio::awaitable<bool> CallerConnection::waitForRequest()
{
    if (m_buffer.size() > 0)
        co_return true;
    setDeadline(m_server.m_options.idleTimeout);
    const auto [ec] = co_await m_socket.async_wait(asio::socket_base::wait_read, asTuple);
    clearDeadline();
    co_return !ec && !m_timedOut && !m_isYielding;
}

/// Reads one request. A malformed, too large or slow one is refused here, and the connection is
/// closed.
asio::awaitable<std::optional<CallerConnection::Request>> CallerConnection::readRequest()
{
    Parser parser;
    parser.header_limit(m_server.m_options.maxHeaderBytes);
    parser.body_limit(m_server.m_options.maxBodyBytes);
    setDeadline(m_server.m_options.headerTimeout);
    auto [ec, n] = co_await http::async_read_header(m_socket, m_buffer, parser, asTuple);
    if (!ec)
        ec = co_await readBody(parser);
    clearDeadline();
    if (!ec)
        co_return parser.release();
    m_isHead = parser.get().method() == http::verb::head;
    ErrorKind kind = ErrorKind::BadRequest;
    if (m_timedOut)
        kind = ErrorKind::SlowSender;
    else if (m_isYielding)
        kind = ErrorKind::ConnectionNeeded;
    else if (ec == asio::error::no_buffer_space)
        kind = ErrorKind::BufferSpaceFull;
    else if (ec == http::error::body_limit)
        kind = ErrorKind::BodyTooLarge;
    else if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        kind = ErrorKind::HeaderTooLarge;
    else if (ec == http::error::end_of_stream
             || ec.category() != http::make_error_code(http::error::bad_method).category())
        co_return std::nullopt; // disconnected: there is no one to send an error to
    Refusal refusal{kind, ec.message()};
    co_await refuse(std::move(refusal), false);
    co_return std::nullopt;
}

/// Reads the body as far as there is room for it. Fails with no_buffer_space if there is none in
/// time. The head does not wait, as it is held already.
asio::awaitable<boost::system::error_code> CallerConnection::readBody(Parser &parser)
{
    const ByteCount head = headCost(parser.get().base());
    m_lease = m_server.m_pressure->lease(accountOf(parser));
    if (!m_lease.resize(head))
        co_return asio::error::no_buffer_space;
    if (toStringView(parser.get()[http::field::expect]) == "100-continue"
        && !co_await write("HTTP/1.1 100 Continue\r\n\r\n"))
        co_return asio::error::broken_pipe;
    setDeadline(m_server.m_options.bodyTimeout);
    beast::error_code ec;
    while (!parser.is_done() && !ec && !m_isYielding) {
        const std::uint64_t arrived = parser.get().body().size() + m_buffer.size();
        const std::uint64_t size =
            std::max<std::uint64_t>(parser.content_length().value_or(0), arrived);
        if (!co_await makeRoom(head + ByteCount{bodyCopies * size}))
            co_return asio::error::no_buffer_space;
        co_await http::async_read_some(m_socket, m_buffer, parser, storeError(&ec));
    }
    if (!ec && !parser.is_done())
        co_return asio::error::operation_aborted; // to yield
    co_return ec;
}

/// Waits for room until the time limit of a header has passed; nothing is read meanwhile.
asio::awaitable<bool> CallerConnection::makeRoom(ByteCount needed)
{
    if (needed <= m_lease.held())
        co_return true;
    const Time until = RuntimeClock::now() + m_server.m_options.headerTimeout;
    const RoomRequest request(m_server.m_pressure, m_lease, needed, m_roomGranted);
    while (!request.isGranted() && !m_timedOut && !m_isYielding && RuntimeClock::now() < until)
        co_await m_roomGranted.waitUntil(until);
    co_return request.isGranted();
}

/// Returns the account whose key the head contains; empty if there is none.
AccountName CallerConnection::accountOf(const Parser &parser) const
{
    const PoliciesPtr policies = m_server.policies();
    const AccountPolicy *account =
        policies ? findAccountByKey(*policies, bearerKey(parser.get().base())) : nullptr;
    return account != nullptr ? account->name : AccountName();
}

asio::awaitable<bool> CallerConnection::serve(Request request)
{
    m_isHead = request.method() == http::verb::head;
    bool served = false;
    bool more = co_await servePage(request, &served);
    if (!served) {
        Exchange admitted;
        Refusal refusal = admit(request, &admitted);
        if (refusal.kind == ErrorKind::None)
            more = co_await exchange(std::move(admitted));
        else
            more = co_await refuse(std::move(refusal), request.keep_alive());
    }
    co_return more;
}

/// Serves the paths that need no upstream.
asio::awaitable<bool> CallerConnection::servePage(const Request &request, bool *served)
{
    const std::string_view path = toStringView(request.target());
    *served = true;
    if (path == "/healthz") {
        const bool healthy = !m_server.m_stopping && m_server.policies();
        std::string body = healthy ? "ok\n" : "stopping or without settings\n";
        co_return co_await writeAnswer(healthy ? 200 : 503, {}, std::move(body),
                                       request.keep_alive());
    }
    if (path == "/v1/models" && request.method() == http::verb::get) {
        const PoliciesPtr policies = m_server.policies();
        const AccountPolicy *account = nullptr;
        Exchange ignored;
        Refusal refusal{ErrorKind::SettingsAbsent, ""};
        if (policies)
            refusal = authenticate(request, &ignored, *policies, &account);
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
        co_return co_await writeAnswer(200, std::move(headers), std::move(body),
                                       request.keep_alive());
    }
    *served = false;
    co_return true;
}

// ---- exchange ---------------------------------------------------------------------------

asio::awaitable<bool> CallerConnection::exchange(Exchange exchange)
{
    const RequestId id = m_server.nextId();
    exchange.callerRequest.id = id;
    if (!m_server.acquireSlot(exchange.tier)) {
        const AnswerResult result{ErrorKind::OpenRequests, Outcome::NotRun, "", 0};
        m_server.m_options.counters->refused(result.kind);
        co_return co_await writeError(id, result, exchange.keepAlive);
    }
    const auto channel = std::make_shared<AnswerChannel>(id);
    channel->onReady = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->m_wakeup.cancel();
    };
    bool more = false;
    if (!m_server.m_hooks.submit(exchange.tier, exchange.callerRequest, channel)) {
        const AnswerResult result{ErrorKind::OpenRequests, Outcome::NotRun, "ring full", 0};
        m_server.m_options.counters->refused(result.kind);
        more = co_await writeError(id, result, exchange.keepAlive);
    } else {
        exchange.callerRequest.call = Call(); // the submitted copy is used from here on
        m_disconnected = false;
        watchForDisconnect();
        if (exchange.stream)
            more = co_await streamAnswer(exchange, channel);
        else
            more = co_await sendFullAnswer(exchange, channel);
        if (m_disconnected && channel->setDisconnected())
            m_server.m_hooks.callerStateChanged(channel);
        beast::error_code ignored;
        m_socket.cancel(ignored); // cancels watchForDisconnect()
    }
    m_server.releaseSlot();
    co_return more &&exchange.keepAlive && !m_disconnected && !m_server.m_closing;
}

/// Detects that the caller closes its connection while a request is in progress. A caller that
/// closes only its sending side counts as disconnected, too.
void CallerConnection::watchForDisconnect()
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
                                return; // pipelined request: read after the current one
                            self->m_disconnected = true;
                            self->m_wakeup.cancel();
                        });
}

asio::awaitable<std::vector<CallerEvent>> CallerConnection::nextEvents(AnswerChannelPtr channel)
{
    for (;;) {
        std::vector<CallerEvent> events = channel->take();
        if (!events.empty() || m_disconnected)
            co_return events;
        m_wakeup.expires_at(Time::max());
        co_await m_wakeup.async_wait(asTuple);
    }
}

void CallerConnection::reportConsumed(const AnswerChannelPtr &channel, std::uint64_t tokens)
{
    if (tokens > 0 && channel->addConsumed(tokens))
        m_server.m_hooks.callerStateChanged(channel);
}

asio::awaitable<bool> CallerConnection::streamAnswer(const Exchange &exchange,
                                                     AnswerChannelPtr channel)
{
    const AnswerWriter writer(*exchange.completion, channel->id(), exchange.model);
    bool headerSent = false;
    for (;;) {
        const std::vector<CallerEvent> events = co_await nextEvents(channel);
        if (m_disconnected)
            co_return false;
        std::string out;
        std::uint64_t tokens = 0;
        const AnswerResult *result = nullptr;
        for (const CallerEvent &event : events) {
            if (const auto *text = std::get_if<AnswerText>(&event)) {
                out += chunked(writer.chunk(text->text));
                tokens += text->tokens;
            } else {
                result = std::get_if<AnswerResult>(&event);
            }
        }
        const bool complete = result && result->kind == ErrorKind::None;
        if (result && !complete && !headerSent && out.empty())
            co_return co_await writeError(channel->id(), *result, exchange.keepAlive);
        if (complete)
            out += chunked(writer.finish(result->tokens)) + "0\r\n\r\n";
        else if (result) // truncated answer: send an error event and no last chunk
            out += chunked(fmt::format(
                "data: {}\n\n",
                errorJson(result->kind, result->outcome, channel->id(), result->reason)));
        if (!headerSent)
            out.insert(0,
                       fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
                                   "{}: {}\r\n\r\n",
                                   idHeader, toString(channel->id())));
        headerSent = true;
        if (!co_await write(std::move(out))) {
            m_disconnected = true;
            co_return false;
        }
        reportConsumed(channel, tokens);
        if (result)
            co_return complete;
    }
}

asio::awaitable<bool> CallerConnection::sendFullAnswer(const Exchange &exchange,
                                                       AnswerChannelPtr channel)
{
    std::string text;
    std::optional<ServiceResponse> response;
    std::optional<AnswerResult> result;
    while (!result) {
        const std::vector<CallerEvent> events = co_await nextEvents(channel);
        if (m_disconnected)
            co_return false;
        std::uint64_t tokens = 0;
        for (const CallerEvent &event : events) {
            if (const auto *piece = std::get_if<AnswerText>(&event)) {
                text += piece->text;
                tokens += piece->tokens;
            } else if (const auto *answer = std::get_if<ServiceResponse>(&event)) {
                response = *answer;
            } else {
                result = std::get<AnswerResult>(event);
            }
        }
        reportConsumed(channel, tokens);
    }
    if (result->kind != ErrorKind::None)
        co_return co_await writeError(channel->id(), *result, exchange.keepAlive);
    std::vector<Header> headers{
        {std::string(idHeader), toString(channel->id())},
        {std::string(outcomeHeader), std::string(toString(result->outcome))}};
    if (exchange.completion) {
        const AnswerWriter writer(*exchange.completion, channel->id(), exchange.model);
        headers.push_back({"Content-Type", "application/json"});
        co_return co_await writeAnswer(200, std::move(headers),
                                       writer.fullAnswer(text, result->tokens), exchange.keepAlive);
    }
    std::ranges::copy_if(response->headers, std::back_inserter(headers),
                         [](const Header &header) { return !isStrippedHeader(header.name); });
    co_return co_await writeAnswer(response->status, std::move(headers), std::move(response->body),
                                   exchange.keepAlive);
}

// ---- writing ----------------------------------------------------------------------------

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    setDeadline(m_server.m_options.writeTimeout);
    const auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    clearDeadline();
    co_return !ec;
}

asio::awaitable<bool> CallerConnection::writeAnswer(unsigned status, std::vector<Header> headers,
                                                    std::string body, bool keepAlive)
{
    const bool keep = keepAlive && !m_server.m_closing;
    const auto reason = toStringView(http::obsolete_reason(static_cast<http::status>(status)));
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    for (const Header &header : headers)
        out += fmt::format("{}: {}\r\n", header.name, header.value);
    out += fmt::format("Content-Length: {}\r\nConnection: {}\r\n\r\n", body.size(),
                       keep ? "keep-alive" : "close");
    if (!m_isHead)
        out += body;
    const bool written = co_await write(std::move(out));
    co_return written &&keep;
}

asio::awaitable<bool> CallerConnection::writeError(const RequestId &id, const AnswerResult &result,
                                                   bool keepAlive)
{
    const ErrorRow &row = errorRow(result.kind);
    std::vector<Header> headers{{"Content-Type", "application/json"},
                                {std::string(idHeader), toString(id)},
                                {std::string(outcomeHeader), std::string(toString(result.outcome))},
                                {std::string(kindHeader), std::string(row.name)}};
    if (row.retryAfter)
        headers.push_back({"Retry-After", std::to_string(row.retryAfter->count())});
    LogLine(LogLevel::Info, "request-refused")
        .with("request", toString(id))
        .with("kind", row.name)
        .with("outcome", toString(result.outcome))
        .with("reason", result.reason);
    std::string body = errorJson(result.kind, result.outcome, id, result.reason);
    co_return co_await writeAnswer(row.status, std::move(headers), std::move(body), keepAlive);
}

asio::awaitable<bool> CallerConnection::refuse(Refusal refusal, bool keepAlive)
{
    m_server.m_options.counters->refused(refusal.kind);
    const AnswerResult result{refusal.kind, Outcome::NotRun, std::move(refusal.reason), 0};
    co_return co_await writeError(m_server.nextId(), result, keepAlive);
}

} // namespace reachlead

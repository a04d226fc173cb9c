// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "callerstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

auto keepError(error_code *ec)
{
    return asio::redirect_error(asio::use_awaitable, *ec);
}

/// What a fault in a request's bytes is called.
ErrorKind kindOf(const error_code &ec)
{
    if (ec == http::error::header_limit)
        return ErrorKind::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return ErrorKind::BodyTooLarge;
    return ErrorKind::BadRequest;
}

} // namespace

CallerStream::CallerStream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)), m_arrived(m_socket.get_executor()),
      m_room(m_socket.get_executor())
{ }

void CallerStream::start()
{
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->readLoop(); },
        asio::detached);
}

bool CallerStream::wantsMore() const
{
    return m_reading || m_input.size() < maxReadAheadBytes;
}

asio::awaitable<void> CallerStream::readLoop()
{
    while (!m_gone) {
        while (!wantsMore() && !m_gone)
            co_await m_room.waitUntil(Time::max());
        if (m_gone)
            co_return;
        error_code ec;
        const std::size_t n =
            co_await m_socket.async_read_some(asio::buffer(m_arriving), keepError(&ec));
        m_input.commit(asio::buffer_copy(m_input.prepare(n), asio::buffer(m_arriving, n)));
        if (ec)
            markGone();
        m_arrived.notify();
    }
}

void CallerStream::markGone()
{
    if (m_gone)
        return;
    m_gone = true;
    m_arrived.notify();
    m_room.notify();
    if (auto callback = std::exchange(m_onGone, nullptr))
        callback();
}

bool CallerStream::parseInput(http::request_parser<http::string_body> *parser)
{
    while (m_input.size() > 0 && !parser->is_done()) {
        error_code ec;
        const std::size_t n = parser->put(m_input.data(), ec);
        m_input.consume(n);
        if (ec && ec != http::error::need_more) {
            m_error = {kindOf(ec), ec.message()};
            return false;
        }
        if (n == 0)
            break;
    }
    return true;
}

Time CallerStream::readLimit(const CallerLimits &limits, Time began, bool headerDone) const
{
    if (!m_busy)
        return began + milliseconds(limits.idleTimeoutMs);
    if (!headerDone)
        return began + milliseconds(limits.headerTimeoutMs);
    return RuntimeClock::now() + milliseconds(limits.idleTimeoutMs);
}

asio::awaitable<std::optional<CallerHttpRequest>> CallerStream::read(const CallerLimits &limits)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_error = {};
    m_busy = false;
    m_reading = true;
    m_room.notify();
    Time began = RuntimeClock::now();
    while (true) {
        if (m_input.size() > 0 && !std::exchange(m_busy, true))
            began = RuntimeClock::now();
        if (!parseInput(&parser))
            break;
        if (parser.is_done()) {
            m_reading = false;
            co_return parser.release();
        }
        const bool stop = m_endWhenIdle && !m_busy;
        const Time limit = readLimit(limits, began, parser.is_header_done());
        if (m_gone || stop)
            break;
        if (RuntimeClock::now() >= limit) {
            if (m_busy)
                m_error = {ErrorKind::SlowSender, "the request was not whole in time"};
            break;
        }
        co_await m_arrived.waitUntil(limit);
    }
    m_reading = false;
    co_return std::nullopt;
}

asio::awaitable<bool> CallerStream::send(FullAnswer answer)
{
    error_code ec;
    co_await http::async_write(m_socket, answer, keepError(&ec));
    m_busy = false;
    co_return !ec;
}

asio::awaitable<bool> CallerStream::sendHead(AnswerHead head)
{
    error_code ec;
    m_chunked = head.chunked();
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(m_socket, serializer, keepError(&ec));
    co_return !ec;
}

asio::awaitable<bool> CallerStream::sendChunk(std::string_view bytes)
{
    error_code ec;
    const asio::const_buffer buf(bytes.data(), bytes.size());
    if (m_chunked)
        co_await asio::async_write(m_socket, http::make_chunk(buf), keepError(&ec));
    else
        co_await asio::async_write(m_socket, buf, keepError(&ec));
    co_return !ec;
}

asio::awaitable<bool> CallerStream::finishAnswer()
{
    error_code ec;
    if (m_chunked)
        co_await asio::async_write(m_socket, http::make_chunk_last(), keepError(&ec));
    m_busy = false;
    co_return !ec;
}

asio::awaitable<void> CallerStream::closeGracefully()
{
    error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // A request that crosses the close stays unread, so that it may be repeated.
    m_socket.cancel(ec);
    Timer linger(m_socket.get_executor());
    linger.expires_after(lingerTime);
    co_await linger.async_wait(keepError(&ec));
    abort();
}

void CallerStream::abort()
{
    error_code ec;
    m_socket.close(ec);
    markGone();
}

void CallerStream::stopWhenIdle()
{
    m_endWhenIdle = true;
    m_arrived.notify();
}

} // namespace reachlead

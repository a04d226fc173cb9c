// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "callerstream.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <reachlead/completion.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Maps an error of Beast's parser.
ErrorKind toErrorKind(const error_code &ec)
{
    if (ec == http::error::header_limit)
        return ErrorKind::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return ErrorKind::BodyTooLarge;
    return ErrorKind::BadRequest;
}

/// Records how long the caller takes to read one write.
class WriteScope
{
public:
    explicit WriteScope(StallTracker &writes) : m_writes(writes)
    {
        m_writes.writeBegan(RuntimeClock::now());
    }
    ~WriteScope() { m_writes.writeEnded(RuntimeClock::now()); }
    WriteScope(const WriteScope &) = delete;
    WriteScope &operator=(const WriteScope &) = delete;

private:
    StallTracker &m_writes;
};

} // namespace

CallerStream::CallerStream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)), m_inputArrived(m_socket.get_executor()),
      m_readResumed(m_socket.get_executor())
{ }

void CallerStream::start()
{
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->readLoop(); },
        asio::detached);
}

std::size_t CallerStream::readAheadLimit() const
{
    return m_isPaused ? m_readBuffer.size() : maxReadAheadBytes;
}

bool CallerStream::shouldRead() const
{
    return (m_reading && !m_isPaused) || m_input.size() < readAheadLimit();
}

asio::awaitable<void> CallerStream::readLoop()
{
    while (!m_disconnected) {
        while (!shouldRead() && !m_disconnected)
            co_await m_readResumed.waitUntil(Time::max());
        if (m_disconnected)
            co_return;
        error_code ec;
        const std::size_t n =
            co_await m_socket.async_read_some(asio::buffer(m_readBuffer), storeError(&ec));
        m_input.commit(asio::buffer_copy(m_input.prepare(n), asio::buffer(m_readBuffer, n)));
        if (ec)
            setDisconnected();
        m_inputArrived.notify();
    }
}

void CallerStream::setDisconnected()
{
    if (m_disconnected)
        return;
    m_disconnected = true;
    m_inputArrived.notify();
    m_readResumed.notify();
    if (auto callback = std::exchange(m_onDisconnected, nullptr))
        callback();
}

bool CallerStream::parseInput(RequestParser *parser)
{
    while (m_input.size() > 0 && !parser->is_done()) {
        error_code ec;
        const std::size_t n = parser->put(m_input.data(), ec);
        m_input.consume(n);
        m_isHead = parser->get().method() == http::verb::head;
        if (ec && ec != http::error::need_more) {
            m_error = {toErrorKind(ec), ec.message()};
            return false;
        }
        if (n == 0)
            break;
    }
    if (parser->is_done() || m_input.size() <= std::max(m_maxHeaderBytes, maxUnparsedBytes))
        return true;
    m_error = {ErrorKind::HeaderTooLarge, "a chunk's size line or the trailer is too long"};
    return false;
}

Time CallerStream::readDeadline(const CallerLimits &limits, Time startedAt, bool headerDone) const
{
    if (!m_busy)
        return startedAt + milliseconds(limits.idleTimeoutMs);
    if (!headerDone)
        return startedAt + milliseconds(limits.headerTimeoutMs);
    return RuntimeClock::now() + milliseconds(limits.idleTimeoutMs);
}

/// Returns the size of the body: all of it if its length is known, so that requests in part do not
/// wait for one another.
ByteCount CallerStream::bodySize(const RequestParser &parser) const
{
    if (!parser.is_header_done())
        return {};
    const std::uint64_t arrived = parser.get().body().size() + m_input.size();
    return {std::max<std::uint64_t>(parser.content_length().value_or(0), arrived)};
}

bool CallerStream::needsRoom(const RequestParser &parser) const
{
    const ByteCount body = bodySize(parser);
    return body > maxUnboundedBody && body + Pressure::callBuffers > m_lease.held();
}

/// Waits until there is room for the body. Returns false if there is none in time.
asio::awaitable<bool> CallerStream::makeRoom(const RequestParser &parser, const RequestRoom &room,
                                             Time until)
{
    if (!m_lease.isBounded())
        m_lease = room.pressure->lease(room.accountOf(parser.get().base()));
    const ByteCount needed = bodySize(parser) + Pressure::callBuffers;
    const RoomRequest request(room.pressure, m_lease, needed, m_inputArrived);
    m_isPaused = true;
    while (!request.isGranted() && !m_disconnected && RuntimeClock::now() < until)
        co_await m_inputArrived.waitUntil(until);
    m_isPaused = false;
    m_readResumed.notify();
    co_return request.isGranted();
}

asio::awaitable<std::optional<CallerHttpRequest>> CallerStream::read(const CallerLimits &limits,
                                                                     const RequestRoom &room)
{
    RequestParser parser;
    parser.eager(true);
    parser.header_limit(limits.maxHeaderBytes);
    m_maxHeaderBytes = limits.maxHeaderBytes;
    parser.body_limit(limits.maxBodyBytes);
    m_error = {};
    m_isHead = false;
    m_lease = {};
    m_writes = StallTracker(room.pressure ? room.pressure->options().stallTime
                                          : StallTracker::defaultStallTime);
    m_busy = false;
    m_reading = true;
    m_readResumed.notify();
    Time startedAt = RuntimeClock::now();
    while (true) {
        if (m_input.size() > 0 && !std::exchange(m_busy, true))
            startedAt = RuntimeClock::now();
        if (!parseInput(&parser))
            break;
        if (room.pressure && needsRoom(parser)) {
            const Time until = RuntimeClock::now() + milliseconds(limits.headerTimeoutMs);
            const bool isGranted = co_await makeRoom(parser, room, until);
            if (!isGranted && !m_disconnected)
                m_error = {ErrorKind::BufferSpaceFull, "no room for the body in time"};
            if (!isGranted)
                break;
        }
        if (parser.is_done()) {
            m_reading = false;
            co_return parser.release();
        }
        const bool stop = m_stopWhenIdle && !m_busy;
        const Time deadline = readDeadline(limits, startedAt, parser.is_header_done());
        if (m_disconnected || stop)
            break;
        if (RuntimeClock::now() >= deadline) {
            if (m_busy)
                m_error = {ErrorKind::SlowSender, "the request was not whole in time"};
            break;
        }
        co_await m_inputArrived.waitUntil(deadline);
    }
    m_reading = false;
    co_return std::nullopt;
}

asio::awaitable<bool> CallerStream::send(FullAnswer answer)
{
    const WriteScope scope(m_writes);
    error_code ec;
    co_await http::async_write(m_socket, answer, storeError(&ec));
    m_busy = false;
    co_return !ec;
}

asio::awaitable<bool> CallerStream::sendHead(AnswerHead head)
{
    const WriteScope scope(m_writes);
    error_code ec;
    m_chunked = head.chunked();
    m_endsWithConnection = !m_chunked;
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(m_socket, serializer, storeError(&ec));
    co_return !ec;
}

asio::awaitable<bool> CallerStream::sendChunk(std::string_view bytes)
{
    const WriteScope scope(m_writes);
    error_code ec;
    const asio::const_buffer buf(bytes.data(), bytes.size());
    if (m_chunked)
        co_await asio::async_write(m_socket, http::make_chunk(buf), storeError(&ec));
    else
        co_await asio::async_write(m_socket, buf, storeError(&ec));
    co_return !ec;
}

asio::awaitable<bool> CallerStream::finishAnswer()
{
    const WriteScope scope(m_writes);
    error_code ec;
    if (m_chunked)
        co_await asio::async_write(m_socket, http::make_chunk_last(), storeError(&ec));
    m_endsWithConnection = false;
    m_busy = false;
    co_return !ec;
}

asio::awaitable<void> CallerStream::closeGracefully()
{
    error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // A request that arrives after the shutdown stays unread, so that the caller may repeat it.
    m_socket.cancel(ec);
    Timer linger(m_socket.get_executor());
    linger.expires_after(lingerTime);
    co_await linger.async_wait(storeError(&ec));
    abort();
}

void CallerStream::abort()
{
    error_code ec;
    // A close would look like the end of the answer, and the kernel would go on to hold what the
    // caller has not taken.
    if (m_endsWithConnection || m_writes.isWriting())
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
    setDisconnected();
}

void CallerStream::stopWhenIdle()
{
    m_stopWhenIdle = true;
    m_inputArrived.notify();
}

} // namespace reachlead

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

bool CallerStream::shouldRead() const
{
    return (m_reading && !m_isPaused) || m_input.size() < maxReadAheadBytes;
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
        m_parsedBytes += n;
        m_countedInput -= std::min(n, m_countedInput);
        m_isHead = parser->get().method() == http::verb::head;
        if (ec && ec != http::error::need_more) {
            m_error = {toErrorKind(ec), ec.message()};
            return false;
        }
        if (n == 0)
            break;
    }
    const std::size_t maxInput = std::max<std::size_t>(m_limits.maxHeaderBytes, maxUnparsedBytes);
    if (parser->is_done() || m_input.size() <= maxInput)
        return true;
    m_error = {ErrorKind::HeaderTooLarge, "a chunk's size line or the trailer is too long"};
    return false;
}

/// Returns when the request must be whole, or nothing has arrived for too long. A caller that sends
/// a byte now and then has no more time than the bytes that have arrived give it.
Time CallerStream::readDeadline(bool headerDone) const
{
    if (!m_busy)
        return m_readSince + milliseconds(m_limits.idleTimeoutMs);
    if (!headerDone)
        return m_readSince + milliseconds(m_limits.headerTimeoutMs);
    const Time idleEnd = RuntimeClock::now() + milliseconds(m_limits.idleTimeoutMs);
    return std::min(
        idleEnd, m_readSince + m_limits.arrivalSlack() + m_limits.maxArrivalTime(arrivedBytes()));
}

std::optional<Duration> CallerStream::unproductiveTime(Time now) const
{
    if (!m_reading || m_isYielding)
        return std::nullopt;
    return now - m_readSince - m_limits.maxArrivalTime(arrivedBytes());
}

void CallerStream::yield()
{
    m_isYielding = true;
    m_inputArrived.notify();
}

/// Brings the cost of the head up to date with the input, before the parser takes it line by line.
void CallerStream::updateHeadCost()
{
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";
    std::string_view input(static_cast<const char *>(m_input.data().data()), m_input.size());
    if (m_parsedBytes > 0 && input.starts_with(lineEnd))
        input = lineEnd; // the last line of the head; a body follows
    else if (const auto end = input.find(headEnd); end != std::string_view::npos)
        input = input.substr(0, end + headEnd.size());
    m_headLines += static_cast<std::size_t>(
        std::ranges::count(input.substr(std::min(m_countedInput, input.size())), '\n'));
    m_countedInput = input.size();
    m_headCost = Pressure::headCost(m_parsedBytes + input.size(), m_headLines);
}

/// Returns the size of the request: with all of its body if the length is known, so that requests
/// in part do not wait for one another.
ByteCount CallerStream::requestSize(const RequestParser &parser) const
{
    if (!parser.is_header_done())
        return m_headCost;
    const std::uint64_t arrived = parser.get().body().size() + m_input.size();
    return m_headCost
        + ByteCount{std::max<std::uint64_t>(parser.content_length().value_or(0), arrived)};
}

bool CallerStream::needsRoom(const RequestParser &parser) const
{
    const ByteCount size = requestSize(parser);
    const bool isWithAccount = !parser.is_header_done() || m_isAccountKnown;
    return size > maxUnboundedRequest
        && (size + Pressure::callBuffers > m_lease.held() || !isWithAccount);
}

/// Waits for room until the time limit of a header has passed. Nothing is read meanwhile.
asio::awaitable<bool> CallerStream::makeRoom(ByteLease &lease, ByteCount needed,
                                             const RequestRoom &room)
{
    const Time until = RuntimeClock::now() + milliseconds(m_limits.headerTimeoutMs);
    const RoomRequest request(room.pressure, lease, needed, m_inputArrived);
    m_isPaused = true;
    while (!request.isGranted() && !m_disconnected && !m_isYielding && RuntimeClock::now() < until)
        co_await m_inputArrived.waitUntil(until);
    m_isPaused = false;
    m_readResumed.notify();
    co_return request.isGranted();
}

/// Takes room for what the request needs so far. Returns false, with the reason in error(), if
/// there is none in time. The account is not known before the end of the head; until then the room
/// is that of callers without an account.
asio::awaitable<bool> CallerStream::acquireRoom(const RequestParser &parser,
                                                const RequestRoom &room)
{
    const ByteCount needed = requestSize(parser) + Pressure::callBuffers;
    ByteLease headLease; // held until there is room with the account
    if (parser.is_header_done() && !std::exchange(m_isAccountKnown, true)) {
        headLease = std::move(m_lease);
        m_lease = room.pressure->lease(room.accountOf(parser.get().base()));
    } else if (!m_lease.isBounded()) {
        m_lease = room.pressure->lease({});
    }
    const bool isGranted = co_await makeRoom(m_lease, needed, room);
    if (!isGranted && !m_disconnected && !m_isYielding)
        m_error = {ErrorKind::BufferSpaceFull, "no room for the request in time"};
    co_return isGranted;
}

void CallerStream::beginRead(const CallerLimits &limits)
{
    m_limits = limits;
    m_error = {};
    m_isHead = false;
    m_lease = {};
    m_isAccountKnown = false;
    m_busy = false;
    m_reading = true;
    m_readSince = RuntimeClock::now();
    m_parsedBytes = 0;
    m_countedInput = 0;
    m_headLines = 0;
    m_headCost = {};
    if (m_input.size() == 0)
        m_input.shrink_to_fit(); // of a long head or chunk
    m_readResumed.notify();
}

/// Waits for more of a request. Returns false if there is to be no more, with the reason in error()
/// if a request has begun.
asio::awaitable<bool> CallerStream::receiveInput(const RequestParser &parser)
{
    const Time deadline = readDeadline(parser.is_header_done());
    if (m_disconnected || m_isYielding || (m_stopWhenIdle && !m_busy))
        co_return false;
    if (RuntimeClock::now() >= deadline) {
        if (m_busy)
            m_error = {ErrorKind::SlowSender, "the request was not whole in time"};
        co_return false;
    }
    co_await m_inputArrived.waitUntil(deadline);
    co_return true;
}

asio::awaitable<std::optional<CallerHttpRequest>> CallerStream::read(const CallerLimits &limits,
                                                                     const RequestRoom &room)
{
    RequestParser parser;
    parser.eager(true);
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_writes = StallTracker(room.pressure ? room.pressure->options().stallTime
                                          : StallTracker::defaultStallTime);
    beginRead(limits);
    while (true) {
        if (m_input.size() > 0 && !std::exchange(m_busy, true))
            m_readSince = RuntimeClock::now();
        if (!parser.is_header_done())
            updateHeadCost();
        if (room.pressure && needsRoom(parser) && !co_await acquireRoom(parser, room))
            break;
        if (!parseInput(&parser))
            break;
        if (room.pressure && needsRoom(parser) && !co_await acquireRoom(parser, room))
            break;
        if (parser.is_done()) {
            m_reading = false;
            co_return parser.release();
        }
        if (!co_await receiveInput(parser))
            break;
    }
    m_reading = false;
    if (m_isYielding && m_busy && !m_disconnected)
        m_error = {ErrorKind::ConnectionNeeded, "other callers needed the connection"};
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

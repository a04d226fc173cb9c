// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A caller's HTTP/1.1 connection to a gateway: reads full requests, sends full or streamed
/// answers, and reports that the caller disconnected.

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <reachlead/error.h>
#include <reachlead/headercodec.h>
#include <reachlead/routing.h>
#include <reachlead/signal.h>

#include "pressure.h"

namespace reachlead {

/// A request with its full body.
using CallerHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// An answer with its full body.
using FullAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// The head of an answer whose body is sent in chunks.
using AnswerHead = boost::beast::http::response<boost::beast::http::empty_body>;

/// Room for the bodies of requests, and the accounts that they are held for.
struct RequestRoom
{
    std::shared_ptr<Pressure> pressure; ///< null: bodies are bounded by CallerLimits only
    std::function<AccountName(const Fields &)> accountOf = {};
};

/// One connection. To be used on the thread of its executor only.
///
/// A read is pending at all times, so that a disconnect is detected while a request is being
/// processed. It is suspended only while the read-ahead is full.
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    explicit CallerStream(boost::asio::ip::tcp::socket socket);

    /// Starts reading. To be called once, after the object is owned by a shared_ptr.
    void start();

    /// Reads the next request. Empty when there is none: error() then gives the reason, where kind
    /// None means that the caller closed the connection or was idle for too long. Reading pauses
    /// while there is no room for the body; the request is refused when none is released in time.
    boost::asio::awaitable<std::optional<CallerHttpRequest>> read(const CallerLimits &limits,
                                                                  const RequestRoom &room);

    /// Passes on the room that the last request takes, with its call's buffers; empty for short
    /// ones.
    ByteLease takeLease() { return std::move(m_lease); }

    /// Sends a full answer. Returns false when the connection failed.
    boost::asio::awaitable<bool> send(FullAnswer answer);

    /// Sends an answer in parts: its head, the chunks of its body, and its end. Each returns false
    /// when the connection failed.
    boost::asio::awaitable<bool> sendHead(AnswerHead head);
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);
    boost::asio::awaitable<bool> finishAnswer();

    /// Shuts down the sending side, gives the caller lingerTime to read the last answer, and
    /// closes. Bytes that arrive in the meantime are not read.
    boost::asio::awaitable<void> closeGracefully();

    /// Closes at once; the caller sees an answer in progress as truncated. Bytes that the caller
    /// has not taken are dropped.
    void abort();

    /// Makes read() return if no byte of a request has arrived. Used for a planned stop.
    void stopWhenIdle();

    /// Returns for how long the connection has been open to no use: the time since it waits for a
    /// request, less what the bytes that have arrived of it took at the slowest rate of
    /// CallerLimits. Nothing while a request is being processed.
    std::optional<Duration> unproductiveTime(Time now) const;

    /// Ends the connection in favour of another caller: read() returns, and what has arrived of a
    /// request is refused as not run.
    void yield();
    /// Whether the connection ends in favour of another caller, so that it is to be closed at once.
    bool isYielding() const { return m_isYielding; }

    /// Sets a callback for when the caller disconnects. It is called at most once.
    void onDisconnected(std::function<void()> callback) { m_onDisconnected = std::move(callback); }
    void clearOnDisconnected() { m_onDisconnected = nullptr; }

    bool isDisconnected() const { return m_disconnected; }
    /// True from the first byte of a request to the end of its answer.
    bool isBusy() const { return m_busy; }
    const Error &error() const { return m_error; }
    /// Whether the method of the last request is HEAD, also if the request could not be read.
    bool isHead() const { return m_isHead; }
    /// How long the caller took to read the parts of the answer in progress.
    const StallTracker &writes() const { return m_writes; }

    /// Bytes that the head of the last request takes in memory.
    ByteCount headCost() const { return m_headCost; }

    /// Requests up to this size need no room of their own.
    static constexpr ByteCount maxUnboundedRequest = kibibytes(16);

    /// Bytes that are read ahead while a request is being processed; more stay in the kernel.
    static constexpr std::size_t maxReadAheadBytes = 8U << 10U;
    /// Time for a caller to close after the last answer; allows a few round trips.
    static constexpr Duration lingerTime = milliseconds(500);

private:
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> readLoop();
    bool shouldRead() const;
    void setDisconnected();
    void beginRead(const CallerLimits &limits);
    void updateHeadCost();
    ByteCount requestSize(const RequestParser &parser) const;
    bool needsRoom(const RequestParser &parser) const;
    boost::asio::awaitable<bool> acquireRoom(const RequestParser &parser, const RequestRoom &room);
    boost::asio::awaitable<bool> makeRoom(ByteLease &lease, ByteCount needed,
                                          const RequestRoom &room);
    boost::asio::awaitable<bool> receiveInput(const RequestParser &parser);
    bool parseInput(RequestParser *parser);
    Time readDeadline(bool headerDone) const;
    std::uint64_t arrivedBytes() const { return m_parsedBytes + m_input.size(); }

    boost::asio::ip::tcp::socket m_socket;
    /// Buffer of the pending read. Separate from m_input, which may move its bytes while they are
    /// parsed.
    std::array<char, 8U << 10U> m_readBuffer{};
    boost::beast::flat_buffer m_input;
    Signal m_inputArrived; ///< notified on new bytes and on a disconnect
    Signal m_readResumed; ///< notified when readLoop() may read more
    std::function<void()> m_onDisconnected;
    Error m_error;
    ByteLease m_lease; ///< of the request being read
    StallTracker m_writes;
    CallerLimits m_limits; ///< of the request being read
    Time m_readSince{}; ///< when read() began or, once bytes have arrived, when the first one did
    std::uint64_t m_parsedBytes = 0; ///< of the request being read
    std::size_t m_countedInput = 0; ///< bytes of m_input whose lines are counted in m_headLines
    std::size_t m_headLines = 0;
    ByteCount m_headCost; ///< see headCost()
    bool m_chunked = false; ///< the answer in progress has chunked encoding
    bool m_endsWithConnection = false; ///< the answer in progress has neither a length nor chunks
    bool m_disconnected = false;
    bool m_busy = false;
    bool m_isHead = false; ///< see isHead()
    bool m_reading = false; ///< read() is in progress
    bool m_isPaused = false; ///< there is no room for more of the request
    bool m_isAccountKnown = false; ///< m_lease is that of the account
    bool m_stopWhenIdle = false;
    bool m_isYielding = false; ///< see yield()
};

} // namespace reachlead

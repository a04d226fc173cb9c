// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A caller's HTTP/1.1 connection whose requests are passed on: whole requests in, whole or
/// streamed answers out, and the news that the caller went away.

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

namespace reachlead {

/// A request with its whole body.
using CallerHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// An answer with its whole body.
using FullAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// The head of an answer whose body follows in pieces.
using AnswerHead = boost::beast::http::response<boost::beast::http::empty_body>;

/// One connection. All calls on the thread of its executor.
///
/// One read is outstanding at all times, so that a caller that leaves is noticed while its request
/// is at work.
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    explicit CallerStream(boost::asio::ip::tcp::socket socket);

    /// Begins to read. Call once, after the object is held by a shared_ptr.
    void start();

    /// The next whole request. Empty when there is none: error() then says why, and kind None means
    /// that the caller ended the connection or stayed idle.
    boost::asio::awaitable<std::optional<CallerHttpRequest>> read(const CallerLimits &limits);

    /// Sends a whole answer; false when the connection broke.
    boost::asio::awaitable<bool> send(FullAnswer answer);

    /// Sends the head of an answer in pieces, then pieces, then its end. False when it broke.
    boost::asio::awaitable<bool> sendHead(AnswerHead head);
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);
    boost::asio::awaitable<bool> finishAnswer();

    /// Closes for sending, leaves the caller lingerTime to read the last answer, and closes. Bytes
    /// that arrive meanwhile are not read.
    boost::asio::awaitable<void> closeGracefully();

    /// Closes at once; an answer under way is seen to be cut.
    void abort();

    /// Ends read() when no byte of a request has arrived: for a planned stop.
    void stopWhenIdle();

    /// Called once, when the caller closes or the connection breaks; then forgotten.
    void onDisconnected(std::function<void()> callback) { m_onGone = std::move(callback); }
    void clearOnDisconnected() { m_onGone = nullptr; }

    bool isDisconnected() const { return m_gone; }
    /// True between the first byte of a request and the end of its answer.
    bool isBusy() const { return m_busy; }
    const Error &error() const { return m_error; }

    /// Bytes that are read ahead of the request that is at work; more wait in the kernel.
    static constexpr std::size_t maxReadAheadBytes = 64U << 10U;
    /// Time for a caller to close after the last answer: a few round trips.
    static constexpr Duration lingerTime = milliseconds(500);

private:
    boost::asio::awaitable<void> readLoop();
    bool wantsMore() const;
    void markGone();
    bool parseInput(boost::beast::http::request_parser<boost::beast::http::string_body> *parser);
    Time readLimit(const CallerLimits &limits, Time began, bool headerDone) const;

    boost::asio::ip::tcp::socket m_socket;
    /// Filled by the read that is outstanding. Not a part of m_input, which may move its bytes
    /// while they are parsed.
    std::array<char, 8U << 10U> m_arriving{};
    boost::beast::flat_buffer m_input;
    Signal m_arrived; ///< bytes, or the end
    Signal m_room; ///< the reader may go on
    std::function<void()> m_onGone;
    Error m_error;
    bool m_chunked = false; ///< the answer in pieces is
    bool m_gone = false;
    bool m_busy = false;
    bool m_reading = false; ///< read() is under way
    bool m_endWhenIdle = false;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP call whose answer is streamed, such as server-sent events.

#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <reachlead/http.h>

namespace reachlead {

/// Connects, sends one request, and returns the body of the answer as it arrives. The timeouts are
/// in real time, not in that of RuntimeClock. Used by one coroutine at a time.
class SseCall
{
public:
    struct Timeouts
    {
        Duration connect = seconds(2);
        Duration read = seconds(20); ///< for the answer's header and for each read
    };

    SseCall(const boost::asio::any_io_executor &executor, Endpoint to, Timeouts timeouts);

    /// Connects. Returns the reason of a failure, else an empty text.
    boost::asio::awaitable<std::string> connect();

    /// Sends the request and reads the header of the answer. Returns the reason of a failure, else
    /// an empty text.
    boost::asio::awaitable<std::string> send(HttpRequest request);

    unsigned status() const { return m_parser->get().result_int(); }

    /// The value of a header of the answer; empty when absent.
    std::string header(std::string_view name) const;

    void setReadTimeout(Duration timeout) { m_timeouts.read = timeout; }

    /// Reads some bytes of the body, which are valid until the next call. Empty, with \p reason
    /// set, at the end of the body and on a failure.
    boost::asio::awaitable<std::string_view> readSome(std::string *reason);

    /// True when the body was received to its end, as defined by HTTP.
    bool isComplete() const { return m_parser.has_value() && m_parser->is_done(); }

    /// True when the last read timed out.
    bool timedOut() const { return m_stalled; }

private:
    static constexpr std::size_t readSize = 16U << 10U;

    boost::beast::tcp_stream m_stream;
    Endpoint m_endpoint;
    Timeouts m_timeouts;
    boost::beast::flat_buffer m_buffer{maxUnparsedBytes};
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::array<char, readSize> m_bytes{};
    bool m_stalled = false;
};

} // namespace reachlead

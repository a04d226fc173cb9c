// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One HTTP call whose answer is a stream of server-sent events.

#pragma once

#include <array>
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

/// Connects, sends one request, and gives the body of the answer as it comes. Its limits follow
/// real time. Used by one coroutine at a time.
class SseCall
{
public:
    struct Timeouts
    {
        Duration connect = seconds(2);
        Duration read = seconds(20); ///< between two reads
    };

    SseCall(const boost::asio::any_io_executor &executor, Endpoint to, Timeouts limits);

    /// Connects; the reason when it failed, else empty.
    boost::asio::awaitable<std::string> connect();

    /// Sends the request and reads the header of the answer; the reason when it failed.
    boost::asio::awaitable<std::string> send(HttpRequest request);

    /// The HTTP status of the answer.
    unsigned status() const { return m_parser.get().result_int(); }

    /// The value of a header of the answer; empty when absent.
    std::string header(std::string_view name) const;

    /// Some bytes of the body, good until the next call. Empty with \p reason set when there are
    /// no more, whether the answer is whole or not.
    boost::asio::awaitable<std::string_view> readSome(std::string *reason);

    /// True when the body ended as HTTP says it should.
    bool isComplete() const { return m_parser.is_done(); }

    /// True when the last read ended by silence.
    bool timedOut() const { return m_stalled; }

private:
    static constexpr std::size_t readSize = 16U << 10U;

    boost::beast::tcp_stream m_stream;
    Endpoint m_to;
    Timeouts m_limits;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
    std::array<char, readSize> m_bytes{};
    bool m_stalled = false;
};

} // namespace reachlead

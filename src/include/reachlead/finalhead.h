// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads the head of an HTTP answer past the informational ones before it.

#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <reachlead/completion.h>

namespace reachlead {

/// Informational answers (1xx) that are skipped before a call fails: a server sends a few while it
/// works on a request.
inline constexpr int maxInformationalAnswers = 16;

constexpr bool isInformational(unsigned status)
{
    return status >= 100 && status < 200;
}

/// True for the statuses of RFC 9110, 15. The parser takes any three digits.
constexpr bool isValidStatus(unsigned status)
{
    return status >= 100 && status < 600;
}

/// Reads the head of the final answer. Each head has its own parser, which \p prepare sets up.
template <class Stream, class Body, class Prepare>
boost::asio::awaitable<boost::system::error_code>
readFinalHead(Stream &stream, boost::beast::flat_buffer &buf,
              std::optional<boost::beast::http::response_parser<Body>> &parser, Prepare prepare)
{
    for (int n = 0; n <= maxInformationalAnswers; ++n) {
        parser.emplace();
        prepare(*parser);
        boost::system::error_code ec;
        co_await boost::beast::http::async_read_header(stream, buf, *parser, storeError(&ec));
        if (!ec && !isValidStatus(parser->get().result_int()))
            break;
        if (ec || !isInformational(parser->get().result_int()))
            co_return ec;
    }
    co_return boost::beast::http::make_error_code(boost::beast::http::error::bad_status);
}

} // namespace reachlead

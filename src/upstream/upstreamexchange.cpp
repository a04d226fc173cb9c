// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstreamexchange.h"

#include <charconv>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t pieceSize = 16U << 10U; ///< most bytes of one piece

auto keepError(error_code *ec)
{
    return asio::redirect_error(asio::use_awaitable, *ec);
}

/// True for the errors of Beast's parser that tell of bytes out of order, not of an early end.
bool isParseFault(const error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::end_of_stream).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

} // namespace

asio::awaitable<bool> UpstreamExchange::write(const UpstreamCall &call)
{
    m_attemptId = call.attemptId;
    m_isHead = call.method == http::verb::head;
    http::request<http::span_body<const char>> request;
    request.version(11);
    request.base() = http::request_header<>(call.fields);
    if (call.method == http::verb::unknown)
        request.method_string(call.methodName);
    else
        request.method(call.method);
    request.target(call.target);
    request.body() = boost::beast::span<const char>(call.body.data(), call.body.size());
    const bool needsLength = call.method != http::verb::get && call.method != http::verb::head;
    if (!call.body.empty() || needsLength)
        request.content_length(call.body.size());
    error_code ec;
    co_await http::async_write(m_channel->socket, request, keepError(&ec));
    co_return !ec || fail(ec);
}

asio::awaitable<bool> UpstreamExchange::readHead()
{
    for (int stale = 0; stale <= maxStaleAnswers; ++stale) {
        const bool good = co_await readOneHead();
        if (!good)
            co_return false;
        m_metadata = m_headerCodec.readAnswer(status(), head());
        const bool isOther = !m_metadata.attemptId.empty() && m_metadata.attemptId != m_attemptId;
        if (!isOther)
            co_return true;
        m_reason = "the answer names another call";
        m_corrupt = true;
        const bool dropped = co_await dropBody();
        if (!dropped)
            co_return false;
        m_corrupt = false;
    }
    m_corrupt = true;
    co_return false;
}

asio::awaitable<bool> UpstreamExchange::readOneHead()
{
    do {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_isHead);
        error_code ec;
        co_await http::async_read_header(m_channel->socket, m_channel->buffer, *m_parser,
                                         keepError(&ec));
        if (ec)
            co_return fail(ec);
    } while (status() < 200); // interim answers say nothing of the call
    co_return true;
}

asio::awaitable<bool> UpstreamExchange::dropBody()
{
    while (true) {
        const auto piece = co_await readSome();
        if (!piece)
            co_return false;
        if (piece->empty())
            co_return m_parser->keep_alive();
    }
}

asio::awaitable<std::optional<std::string>> UpstreamExchange::readSome()
{
    m_piece.resize(pieceSize);
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        error_code ec;
        co_await http::async_read_some(m_channel->socket, m_channel->buffer, *m_parser,
                                       keepError(&ec));
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec) {
            fail(ec);
            co_return std::nullopt;
        }
        const std::size_t n = m_piece.size() - body.size;
        if (n > 0)
            co_return std::string(m_piece.data(), n);
    }
    co_return std::string();
}

bool UpstreamExchange::fail(const error_code &ec)
{
    m_reason = ec.message();
    m_corrupt = m_corrupt || isParseFault(ec);
    return false;
}

bool UpstreamExchange::isReusable() const
{
    return m_parser.has_value() && m_parser->is_done() && m_parser->keep_alive()
        && !m_parser->need_eof();
}

std::optional<Duration> UpstreamExchange::keepAliveTimeout() const
{
    const std::string text = ";" + std::string(head()[http::field::keep_alive]);
    for (const auto &param : http::param_list(text)) {
        if (!boost::beast::iequals(param.first, "timeout"))
            continue;
        std::uint32_t whole = 0;
        const auto value = param.second;
        if (std::from_chars(value.data(), value.data() + value.size(), whole).ec == std::errc())
            return seconds(whole);
    }
    return std::nullopt;
}

} // namespace reachlead

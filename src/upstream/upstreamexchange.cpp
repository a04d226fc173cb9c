// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstreamexchange.h"

#include <charconv>

#include <boost/beast/http/rfc7230.hpp>

#include <reachlead/completion.h>
#include <reachlead/finalhead.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t maxChunkBytes = 16U << 10U;

/// True for the errors of Beast's parser that mean malformed bytes, not a truncated message.
bool isParseError(const error_code &ec)
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
    http::request_serializer<http::span_body<const char>> serializer(request);
    error_code ec;
    m_isWriting = true;
    while (!serializer.is_done() && !ec) {
        m_lastTakenAt = RuntimeClock::now();
        co_await http::async_write_some(m_channel->socket, serializer, storeError(&ec));
    }
    m_isWriting = static_cast<bool>(ec);
    co_return !ec || setError(ec);
}

asio::awaitable<bool> UpstreamExchange::readHead()
{
    for (int stale = 0; stale <= maxStaleAnswers; ++stale) {
        const bool received = co_await readOneHead();
        if (!received)
            co_return false;
        m_metadata = m_headerCodec.readAnswer(status(), head());
        const bool isOther = !m_metadata.attemptId.empty() && m_metadata.attemptId != m_attemptId;
        if (!isOther)
            co_return true;
        m_reason = "the answer has the id of another call";
        m_corrupt = true;
        const bool discarded = co_await discardBody();
        if (!discarded || !m_parser->keep_alive())
            co_return false;
        m_corrupt = false;
    }
    m_corrupt = true;
    co_return false;
}

asio::awaitable<bool> UpstreamExchange::readOneHead()
{
    while (true) {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_isHead);
        error_code ec;
        co_await http::async_read_header(m_channel->socket, m_channel->buffer, *m_parser,
                                         storeError(&ec));
        if (ec)
            co_return setError(ec);
        if (!isValidStatus(status()))
            co_return setCorrupt("the answer has a status out of range");
        if (!isInformational(status()))
            co_return true;
        if (++m_informational > maxInformationalAnswers)
            co_return setCorrupt("too many informational answers");
    }
}

asio::awaitable<bool> UpstreamExchange::discardBody()
{
    while (true) {
        const auto chunk = co_await readSome();
        if (!chunk)
            co_return false;
        if (chunk->empty())
            co_return true;
        m_discarded += chunk->size();
        if (m_discarded > maxDiscardedBytes)
            co_return setCorrupt("an answer that is dropped is too long");
    }
}

asio::awaitable<std::optional<std::string>> UpstreamExchange::readSome()
{
    m_chunk.resize(maxChunkBytes);
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_chunk.data();
        body.size = m_chunk.size();
        error_code ec;
        co_await http::async_read_some(m_channel->socket, m_channel->buffer, *m_parser,
                                       storeError(&ec));
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec) {
            setError(ec);
            co_return std::nullopt;
        }
        const std::size_t n = m_chunk.size() - body.size;
        if (n > 0)
            co_return std::string(m_chunk.data(), n);
    }
    co_return std::string();
}

bool UpstreamExchange::setError(const error_code &ec)
{
    m_reason = ec.message();
    m_corrupt = m_corrupt || isParseError(ec);
    return false;
}

bool UpstreamExchange::setCorrupt(std::string_view reason)
{
    m_reason = reason;
    m_corrupt = true;
    return false;
}

bool UpstreamExchange::isReusable() const
{
    return !m_corrupt && m_parser.has_value() && m_parser->is_done() && m_parser->keep_alive()
        && !m_parser->need_eof();
}

std::optional<Duration> UpstreamExchange::keepAliveTimeout() const
{
    const std::string text = ";" + std::string(head()[http::field::keep_alive]);
    for (const auto &param : http::param_list(text)) {
        if (!boost::beast::iequals(param.first, "timeout"))
            continue;
        std::uint32_t timeout = 0;
        const auto value = param.second;
        if (std::from_chars(value.data(), value.data() + value.size(), timeout).ec == std::errc())
            return seconds(timeout);
    }
    return std::nullopt;
}

} // namespace reachlead

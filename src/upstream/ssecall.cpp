// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/ssecall.h"

#include <boost/beast/http.hpp>

#include <reachlead/completion.h>
#include <reachlead/finalhead.h>

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

SseCall::SseCall(const asio::any_io_executor &executor, Endpoint to, Timeouts timeouts)
    : m_stream(executor), m_endpoint(std::move(to)), m_timeouts(timeouts)
{ }

asio::awaitable<std::string> SseCall::connect()
{
    m_stream.expires_after(m_timeouts.connect);
    const tcp::endpoint to(asio::ip::make_address(m_endpoint.address), m_endpoint.port);
    const auto [ec] = co_await m_stream.async_connect(to, asTuple);
    if (ec)
        co_return ec.message();
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return std::string();
}

asio::awaitable<std::string> SseCall::send(HttpRequest httpRequest)
{
    http::request<http::string_body> request(http::string_to_verb(httpRequest.method),
                                             httpRequest.path, 11);
    request.set(http::field::host, m_endpoint.text());
    request.set(http::field::content_type, "application/json");
    for (const Header &header : httpRequest.headers)
        request.set(header.name, header.value);
    request.body() = std::move(httpRequest.body);
    request.prepare_payload();
    m_stream.expires_after(m_timeouts.read);
    const auto [writeError, n] = co_await http::async_write(m_stream, request, asTuple);
    if (writeError)
        co_return writeError.message();
    const beast::error_code ec = co_await readFinalHead(
        m_stream, m_buffer, m_parser, [](auto &it) { it.body_limit(boost::none); });
    m_stalled = ec == beast::error::timeout;
    co_return ec ? ec.message() : std::string();
}

std::string SseCall::header(std::string_view name) const
{
    return std::string(m_parser->get()[beast::string_view(name.data(), name.size())]);
}

asio::awaitable<std::string_view> SseCall::readSome(std::string *reason)
{
    while (!m_parser->is_done()) {
        m_parser->get().body().data = m_bytes.data();
        m_parser->get().body().size = m_bytes.size();
        m_stream.expires_after(m_timeouts.read);
        const auto [ec, n] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
        const std::size_t received = m_bytes.size() - m_parser->get().body().size;
        if (received > 0)
            co_return std::string_view(m_bytes.data(), received);
        if (ec && ec != http::error::need_buffer) {
            m_stalled = ec == beast::error::timeout;
            *reason = ec.message();
            co_return std::string_view();
        }
    }
    *reason = "the stream ended before its last event";
    co_return std::string_view();
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/completion.h>
#include <reachlead/finalhead.h>
#include <reachlead/http.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <list>
#include <ranges>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace reachlead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t maxBodyBytes = 8U << 20U;
constexpr std::chrono::seconds idleTimeout{60};

int hexValue(char c)
{
    int value = -1;
    std::from_chars(&c, &c + 1, value, 16);
    return value;
}

std::string decodeQuery(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isEncoded = text[n] == '%' && n + 2 < text.size() && hexValue(text[n + 1]) >= 0
            && hexValue(text[n + 2]) >= 0;
        if (isEncoded) {
            out += static_cast<char>(hexValue(text[n + 1]) * 16 + hexValue(text[n + 2]));
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

template <class Fields> std::vector<Header> toHeaders(const Fields &fields)
{
    std::vector<Header> headers;
    for (const auto &field : fields)
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

/// True for a success without a body that only the end of the connection ended: a server that is
/// killed closes its connections.
bool isLostBehindHead(const http::response_parser<http::string_body> &parser)
{
    const auto &response = parser.get();
    return parser.need_eof() && response.body().empty()
        && http::to_status_class(response.result_int()) == http::status_class::successful;
}

http::response<http::string_body> toBeast(HttpResponse reply, unsigned version, bool keepAlive)
{
    http::response<http::string_body> response(static_cast<http::status>(reply.status), version);
    for (const Header &header : reply.headers)
        response.set(header.name, header.value);
    response.body() = std::move(reply.body);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    return response;
}

} // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    boost::system::error_code ec;
    asio::ip::make_address(endpoint.address, ec);
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    // make_address() reads up to the first NUL.
    const bool isWhole = endpoint.address.find('\0') == std::string::npos;
    if (ec || !isWhole || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return endpoint;
}

std::string Endpoint::text() const
{
    return fmt::format("{}:{}", address, port);
}

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto it = std::ranges::find_if(
        headers, [&](const Header &h) { return boost::algorithm::iequals(h.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

std::string_view HttpRequest::pathOnly() const
{
    return std::string_view(path).substr(0, path.find('?'));
}

std::string HttpRequest::queryParameter(std::string_view name) const
{
    const auto queryStart = path.find('?');
    if (queryStart == std::string::npos)
        return {};
    for (const auto part : std::string_view(path).substr(queryStart + 1) | std::views::split('&')) {
        const std::string_view pair(part.begin(), part.end());
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return decodeQuery(pair.substr(equals + 1));
    }
    return {};
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<Duration> parseRetryAfter(unsigned status, std::string_view retryAfter)
{
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned serviceUnavailable = 503;
    constexpr double maxSeconds = 1e6; // fits a Duration
    if (status != tooManyRequests && status != serviceUnavailable)
        return std::nullopt;
    const std::optional<double> value = parseDecimal(retryAfter);
    if (!value || !std::isfinite(*value) || *value <= 0)
        return std::nullopt;
    return fromSeconds(std::min(*value, maxSeconds));
}

std::string encodeQuery(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        const bool isUnreserved = (std::isalnum(static_cast<unsigned char>(c)) != 0) || c == '-'
            || c == '_' || c == '.' || c == '/';
        out += isUnreserved ? std::string(1, c)
                            : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return out;
}

asio::awaitable<std::optional<HttpResponse>> httpCall(Endpoint to, HttpRequest call,
                                                      Duration timeout, std::string *reason,
                                                      CallProgress *progress)
{
    CallProgress ignored{};
    CallProgress &reached = progress ? *progress : ignored;
    reached = CallProgress::NotConnected;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(to.address), to.port);
    const auto [connectError] = co_await stream.async_connect(endpoint, asTuple);
    if (connectError) {
        *reason = connectError.message();
        co_return std::nullopt;
    }
    beast::error_code ec;
    stream.socket().set_option(tcp::no_delay(true), ec);

    http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
    request.method_string(call.method);
    request.set(http::field::host, to.text());
    for (const Header &header : call.headers)
        request.set(header.name, header.value);
    request.body() = std::move(call.body);
    request.keep_alive(false);
    request.prepare_payload();
    reached = CallProgress::Sent;
    const auto [writeError, written] = co_await http::async_write(stream, request, asTuple);
    if (writeError) {
        *reason = writeError.message();
        co_return std::nullopt;
    }
    beast::flat_buffer buf(maxUnparsedBytes);
    std::optional<http::response_parser<http::string_body>> parser;
    const bool isHead = call.method == "HEAD";
    ec = co_await readFinalHead(stream, buf, parser, [isHead](auto &it) {
        it.body_limit(maxBodyBytes);
        it.skip(isHead);
    });
    if (!ec && !parser->is_done())
        co_await http::async_read(stream, buf, *parser, storeError(&ec));
    if (ec) {
        *reason = ec.message();
        co_return std::nullopt;
    }
    const auto &response = parser->get();
    if (isLostBehindHead(*parser)) {
        *reason = "the connection ended before the body";
        co_return std::nullopt;
    }
    reached = CallProgress::Answered;
    stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    HttpResponse reply{response.result_int(), toHeaders(response), response.body()};
    co_return reply;
}

// ---- server -----------------------------------------------------------------------------

namespace {

/// One connection of a client.
struct ServerConnection
{
    explicit ServerConnection(tcp::socket socket) : stream(std::move(socket)) { }

    beast::tcp_stream stream;
    std::optional<Time> waitsSince = RuntimeClock::now(); ///< for a request; empty: it is served
};

} // namespace

struct HttpServer::Shared
{
    Shared(asio::io_context &io, const Endpoint &endpoint, Handler h, const HttpServerLimits &l)
        : acceptor(io), handler(std::move(h)), limits(l)
    {
        const tcp::endpoint at(asio::ip::make_address(endpoint.address), endpoint.port);
        acceptor.open(at.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        // Connections inherit it before the peer learns how much it may send.
        if (limits.receiveBufferBytes > 0)
            acceptor.set_option(asio::socket_base::receive_buffer_size(limits.receiveBufferBytes));
        acceptor.bind(at);
        acceptor.listen();
    }

    /// Closes the connection that has waited longest for a request, if there are as many as may be.
    void makeRoomForConnection()
    {
        if (connections.size() < limits.connections)
            return;
        // Those that are served come last.
        const auto since = [](const auto &it) { return it->waitsSince.value_or(Time::max()); };
        beast::error_code ignored;
        const auto it = std::ranges::min_element(connections, {}, since);
        (*it)->stream.socket().close(ignored);
        connections.erase(it);
    }

    tcp::acceptor acceptor;
    Handler handler;
    HttpServerLimits limits;
    std::list<std::shared_ptr<ServerConnection>> connections;
};

namespace {

template <class SharedPtr>
asio::awaitable<void> serveRequests(SharedPtr shared, std::shared_ptr<ServerConnection> connection)
{
    beast::tcp_stream &stream = connection->stream;
    beast::flat_buffer buf(maxUnparsedBytes);
    for (;;) {
        connection->waitsSince = RuntimeClock::now();
        stream.expires_after(idleTimeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(shared->limits.headerBytes);
        parser.body_limit(shared->limits.bodyBytes);
        const auto [readError, read] = co_await http::async_read(stream, buf, parser, asTuple);
        if (readError)
            co_return;
        connection->waitsSince.reset();
        stream.expires_never();
        const auto &request = parser.get();
        HttpRequest call{std::string(request.method_string()), std::string(request.target()),
                         toHeaders(request), request.body()};
        const bool keepAlive = request.keep_alive();
        const unsigned version = request.version();
        HttpResponse reply = co_await shared->handler(std::move(call));
        auto response = toBeast(std::move(reply), version, keepAlive);
        if (request.method() == http::verb::head)
            response.body().clear(); // the headers are those of the same answer to GET
        stream.expires_after(idleTimeout);
        const auto [writeError, written] = co_await http::async_write(stream, response, asTuple);
        if (writeError || !keepAlive)
            co_return;
    }
}

template <class SharedPtr>
asio::awaitable<void> serveConnection(SharedPtr shared,
                                      std::shared_ptr<ServerConnection> connection)
{
    co_await serveRequests(shared, connection);
    beast::error_code ec;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    shared->connections.remove(connection);
}

template <class SharedPtr> asio::awaitable<void> acceptConnections(SharedPtr shared)
{
    for (;;) {
        auto [ec, socket] = co_await shared->acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted || !shared->acceptor.is_open())
            co_return;
        if (ec)
            continue;
        shared->makeRoomForConnection();
        socket.set_option(tcp::no_delay(true), ec);
        const auto connection = std::make_shared<ServerConnection>(std::move(socket));
        shared->connections.push_back(connection);
        asio::co_spawn(shared->acceptor.get_executor(), serveConnection(shared, connection),
                       asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &io, const Endpoint &endpoint, Handler handler,
                       const HttpServerLimits &limits)
    : m_shared(std::make_shared<Shared>(io, endpoint, std::move(handler), limits))
{
    asio::co_spawn(io, acceptConnections(m_shared), asio::detached);
}

HttpServer::~HttpServer()
{
    stop();
}

std::uint16_t HttpServer::port() const
{
    return m_shared->acceptor.local_endpoint().port();
}

void HttpServer::stop()
{
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
}

} // namespace reachlead

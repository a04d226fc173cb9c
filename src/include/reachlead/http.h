// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 client and server helpers on Boost.Beast, for messages that need no streaming.

#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/clock.h>
#include <reachlead/messages.h>

namespace reachlead {

/// Maximum number of bytes of a connection that have been read and not yet parsed. The size line of
/// a chunk and the trailer are parsed as a whole, and the parser sets no limit of its own on them.
constexpr std::size_t maxUnparsedBytes = 64U << 10U;

/// An IP address and a port.
struct Endpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    /// Parses `ADDRESS:PORT`.
    static std::optional<Endpoint> parse(std::string_view text);
    std::string text() const;
};

/// A request with its whole body.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::vector<Header> headers;
    std::string body;

    /// Returns the value of a header, or an empty string. Names are case-insensitive.
    std::string_view header(std::string_view name) const;
    /// Returns the path without its query string.
    std::string_view pathOnly() const;
    /// Returns the percent-decoded value of a query parameter, or an empty string.
    std::string queryParameter(std::string_view name) const;
};

/// A response with its whole body.
struct HttpResponse
{
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// How far a call got, which shows whether the server can have executed it.
enum class CallProgress : std::uint8_t { NotConnected, Sent, Answered };

/// Makes one call on a new connection. Returns nothing and sets \p reason when no complete response
/// arrives within \p timeout of real time; \p progress then shows how far the call got.
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(Endpoint to, HttpRequest call,
                                                             Duration timeout, std::string *reason,
                                                             CallProgress *progress = nullptr);

/// Parses \p text as one decimal number; returns nothing for any other text.
std::optional<double> parseDecimal(std::string_view text);

/// Returns the wait that a refusal (429, 503) requests in Retry-After, in seconds, which may have a
/// fraction (RFC 9110, 10.2.3, allows whole seconds only). Nothing for other statuses and dates.
std::optional<Duration> parseRetryAfter(unsigned status, std::string_view retryAfter);

/// Percent-encodes a query value.
std::string encodeQuery(std::string_view text);

/// What a server takes from its clients.
struct HttpServerLimits
{
    std::uint64_t bodyBytes = 8U << 20U;
    std::uint32_t headerBytes = 8U << 10U;
    /// For each further one, the one that has waited longest for a request is closed.
    std::size_t connections = std::numeric_limits<std::size_t>::max();
    int receiveBufferBytes = 0; ///< of the kernel, for each connection; 0: as the kernel decides
};

/// For the servers of load balancers and operators, whose requests are short and few.
constexpr HttpServerLimits shortRequestLimits{.bodyBytes = 16U << 10U,
                                              .headerBytes = 4U << 10U,
                                              .connections = 32,
                                              .receiveBufferBytes = 16 << 10};

/// Serves responses that are complete before they are sent. Runs on the given io_context.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    /// Starts listening; throws boost::system::system_error on failure.
    HttpServer(boost::asio::io_context &io, const Endpoint &endpoint, Handler handler,
               const HttpServerLimits &limits = {});
    ~HttpServer();

    std::uint16_t port() const;
    /// Stops accepting connections; those that are open continue.
    void stop();

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace reachlead

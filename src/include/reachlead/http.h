// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Small HTTP/1.1 helpers over Boost.Beast, for the calls and pages that need no streaming.

#pragma once

#include <functional>
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

/// An IP number and a port.
struct Endpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    /// Reads `ADDRESS:PORT`.
    static std::optional<Endpoint> parse(std::string_view text);
    std::string text() const;
};

/// A request without streaming.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::vector<Header> headers;
    std::string body;

    /// The value of a header, names compared without case; empty when absent.
    std::string_view header(std::string_view name) const;
    /// The path without its query.
    std::string_view pathOnly() const;
    /// The value of a query parameter, percent-decoded; empty when absent.
    std::string queryParameter(std::string_view name) const;
};

/// An answer without streaming.
struct HttpResponse
{
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// How far a call got, where that decides whether it can have run.
enum class CallProgress : std::uint8_t { NotConnected, Sent, Answered };

/// Makes one call on a connection of its own. Empty with \p reason set when no whole answer came
/// within \p limit of real time; \p progress then says how far it got.
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(Endpoint to, HttpRequest ask,
                                                             Duration limit, std::string *reason,
                                                             CallProgress *progress = nullptr);

/// The decimal number that is the whole \p text; nothing for any other text.
std::optional<double> parseDecimal(std::string_view text);

/// The time that a refusal (429, 503) asks for in Retry-After, in seconds and parts of one
/// (RFC 9110, 10.2.3, has whole ones). Nothing for other statuses, and for a date.
std::optional<Duration> parseRetryAfter(unsigned status, std::string_view retryAfter);

/// Percent-encodes a query value.
std::string encodeQuery(std::string_view text);

/// Serves pages that are made whole before they are sent. Runs on the given io_context.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    /// Listens at once; throws boost::system::system_error when it cannot.
    HttpServer(boost::asio::io_context &io, const Endpoint &at, Handler handler);
    ~HttpServer();

    std::uint16_t port() const;
    /// Stops accepting; calls in progress go on.
    void stop();

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One connection of a caller: reads requests, writes answers, and detects a disconnect.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <reachlead/answerchannel.h>
#include <reachlead/clock.h>

#include <reachlead/signal.h>

#include "caller/openai.h"
#include "caller/pressure.h"

namespace reachlead {

class CallerServer;

/// Used on the caller's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerServer &server, boost::asio::ip::tcp::socket socket);
    ~CallerConnection();

    /// Serves requests until the connection is closed.
    boost::asio::awaitable<void> run();

    /// Closes the connection if no request is in progress.
    void closeIfIdle();

    /// Returns for how long the connection has waited for a request, or for the rest of one;
    /// nothing while a request is being processed.
    std::optional<Duration> unproductiveTime(Time now) const;

    /// Ends the connection in favour of another caller. What has arrived of a request is refused as
    /// not run.
    void yield();
    bool isYielding() const { return m_isYielding; }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    template <class T> using Awaitable = boost::asio::awaitable<T>;

    /// Refusal of an HTTP request that was not admitted.
    struct Refusal
    {
        ErrorKind kind = ErrorKind::None;
        std::string reason;
    };

    /// An admitted request.
    struct Exchange
    {
        CallerRequest callerRequest;
        Tier tier{};
        std::optional<CompletionKind> completion; ///< empty: a call to a plain service
        bool stream = false;
        std::string model;
        bool keepAlive = true;
    };

    Awaitable<bool> waitForRequest();
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Awaitable<std::optional<Request>> readRequest();
    Awaitable<boost::system::error_code> readBody(Parser &parser);
    Awaitable<bool> makeRoom(ByteCount needed);
    AccountName accountOf(const Parser &parser) const;
    Awaitable<bool> serve(Request request);
    Awaitable<bool> servePage(const Request &request, bool *served);
    Awaitable<bool> exchange(Exchange exchange);
    Awaitable<bool> streamAnswer(const Exchange &exchange, AnswerChannelPtr channel);
    Awaitable<bool> sendFullAnswer(const Exchange &exchange, AnswerChannelPtr channel);
    Awaitable<std::vector<CallerEvent>> nextEvents(AnswerChannelPtr channel);
    Awaitable<bool> write(std::string bytes);
    Awaitable<bool> writeAnswer(unsigned status, std::vector<Header> headers, std::string body,
                                bool keepAlive);
    Awaitable<bool> writeError(const RequestId &id, const AnswerResult &result, bool keepAlive);
    Awaitable<bool> refuse(Refusal refusal, bool keepAlive);

    Refusal admit(const Request &request, Exchange *exchange);
    Refusal authenticate(const Request &request, Exchange *exchange, const Policies &policies,
                         const AccountPolicy **account);
    Refusal readTarget(const Request &request, Exchange *exchange);
    Refusal readClass(const Request &request, Exchange *exchange, const Policies &policies,
                      const AccountPolicy &account);
    bool countConnection(const AccountPolicy &account);
    void reportConsumed(const AnswerChannelPtr &channel, std::uint64_t tokens);
    void watchForDisconnect();
    void setDeadline(Duration timeout);
    void clearDeadline();

    CallerServer &m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Timer m_deadline; ///< cancels reads and writes that take too long
    Timer m_wakeup; ///< cancelled when the request in progress has events
    std::uint64_t m_deadlineGeneration = 0;
    bool m_timedOut = false;
    bool m_isYielding = false; ///< see yield()
    std::optional<Time> m_waitsSince; ///< for a request or the rest of one; empty: it is processed
    bool m_disconnected = false;
    bool m_idle = true;
    bool m_isHead = false; ///< the method of the last request is HEAD: its answer has no body
    bool m_watching = false;
    Signal m_roomGranted;
    ByteLease m_lease; ///< of the request in progress
    AccountName m_countedAccount; ///< account whose connection limit counts this connection
};

} // namespace reachlead

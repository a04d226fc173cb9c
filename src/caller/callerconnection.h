// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One connection of a caller: reads requests, writes answers, sees the caller go.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <reachlead/answerchannel.h>
#include <reachlead/clock.h>

#include "caller/openai.h"

namespace reachlead {

class CallerServer;

/// Lives on the caller's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerServer &server, boost::asio::ip::tcp::socket socket);
    ~CallerConnection();

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Ends the connection when no request is in progress.
    void closeIfIdle();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    template <class T> using Awaitable = boost::asio::awaitable<T>;

    /// A refusal before a request became one.
    struct Refusal
    {
        ErrorKind kind = ErrorKind::None;
        std::string reason;
    };

    /// A request on its way to an answer.
    struct Exchange
    {
        CallerRequest ask;
        Tier tier{};
        std::optional<CompletionKind> completion; ///< none: a plain service's call
        bool stream = false;
        std::string model;
        bool keepAlive = true;
        bool head = false; ///< the method was HEAD: no body goes back
    };

    Awaitable<bool> waitForRequest();
    Awaitable<std::optional<Request>> readRequest();
    Awaitable<bool> serve(Request request);
    Awaitable<bool> servePage(const Request &request, bool *served);
    Awaitable<bool> exchange(Exchange exchange);
    Awaitable<bool> streamAnswer(const Exchange &exchange, AnswerChannelPtr slot);
    Awaitable<bool> wholeAnswer(const Exchange &exchange, AnswerChannelPtr slot);
    Awaitable<std::vector<CallerEvent>> nextEvents(AnswerChannelPtr slot);
    Awaitable<bool> write(std::string bytes);
    Awaitable<bool> writeWhole(unsigned status, std::vector<Header> headers, std::string body,
                               bool keepAlive, bool head = false);
    Awaitable<bool> writeError(const RequestId &id, const AnswerResult &end, bool keepAlive);
    Awaitable<bool> refuse(Refusal refusal, bool keepAlive);

    Refusal admit(const Request &request, Exchange *exchange);
    Refusal identify(const Request &request, Exchange *exchange, const Policies &policies,
                     const AccountPolicy **account);
    Refusal readTarget(const Request &request, Exchange *exchange);
    Refusal readClass(const Request &request, Exchange *exchange, const Policies &policies,
                      const AccountPolicy &account);
    bool countConnection(const AccountPolicy &account);
    void tookTokens(const AnswerChannelPtr &slot, std::uint64_t tokens);
    void watchForGone();
    void setLimit(Duration limit);
    void clearLimit();

    CallerServer &m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Timer m_limit; ///< ends reads and writes that take too long
    Timer m_signal; ///< cancelled when something happened to the request in progress
    std::uint64_t m_limitRound = 0;
    bool m_timedOut = false;
    bool m_gone = false;
    bool m_idle = true;
    bool m_watching = false;
    AccountName m_countedFor; ///< the account this connection counts against
};

} // namespace reachlead

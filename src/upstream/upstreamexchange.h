// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One call on a connection to an upstream: the request out, the answer in as it arrives.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>

#include <reachlead/headercodec.h>

#include "upstreamchannel.h"

namespace reachlead {

/// What is sent: a head and a body that outlives the exchange.
struct UpstreamCall
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string methodName; ///< for methods that Beast has no number for
    std::string target;
    Fields fields;
    std::string_view body;
    std::string attemptId; ///< answers that name another one belong to another call
};

/// Runs one call. All calls on one thread; closing the channel ends any of them.
class UpstreamExchange
{
public:
    UpstreamExchange(UpstreamChannelPtr channel, const HeaderCodec &headerCodec)
        : m_channel(std::move(channel)), m_headerCodec(headerCodec)
    { }

    /// Sends the call. False with reason() set when the connection broke.
    boost::asio::awaitable<bool> write(const UpstreamCall &call);

    /// Reads up to the end of the answer's head. An answer that names another call is read to its
    /// end and dropped: it is a late one of a former call. False with reason() set when the
    /// connection broke or the bytes are no answer.
    boost::asio::awaitable<bool> readHead();

    /// Reads more of the body; an empty text at its end. Nothing with reason() set when the answer
    /// broke off.
    boost::asio::awaitable<std::optional<std::string>> readSome();

    /// Of the answer; 0 before its head came.
    unsigned status() const { return m_parser ? m_parser->get().result_int() : 0; }
    const Fields &head() const { return m_parser->get().base(); }
    const AnswerMetadata &metadata() const { return m_metadata; }
    const std::string &reason() const { return m_reason; }

    /// True when bytes came that are no answer, rather than none.
    bool isCorrupt() const { return m_corrupt; }

    /// True when a byte of the answer arrived.
    bool hasHead() const { return m_parser.has_value() && m_parser->is_header_done(); }

    /// True when the whole answer came and the connection can take another call.
    bool isReusable() const;

    /// How long the upstream keeps the connection idle; empty when it does not say.
    std::optional<Duration> keepAliveTimeout() const;

    const UpstreamChannelPtr &channel() const { return m_channel; }

    /// Late answers of former calls that are dropped before the connection is given up.
    static constexpr int maxStaleAnswers = 3;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> readOneHead();
    boost::asio::awaitable<bool> dropBody();
    bool fail(const boost::system::error_code &ec);

    UpstreamChannelPtr m_channel;
    const HeaderCodec &m_headerCodec;
    std::optional<Parser> m_parser;
    AnswerMetadata m_metadata;
    std::string m_attemptId;
    std::string m_reason;
    bool m_isHead = false; ///< the method is HEAD: no body follows
    bool m_corrupt = false;
    std::vector<char> m_piece;
};

} // namespace reachlead

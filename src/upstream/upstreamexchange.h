// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One call on a connection to an upstream. The answer is read incrementally.

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

/// The request. Its body must outlive the exchange.
struct UpstreamCall
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string methodName; ///< for methods that Beast does not know
    std::string target;
    Fields fields;
    std::string_view body;
    std::string attemptId; ///< an answer with another id belongs to another call
};

/// Executes one call. Not thread-safe; closing the channel makes pending operations fail.
class UpstreamExchange
{
public:
    UpstreamExchange(UpstreamChannelPtr channel, const HeaderCodec &headerCodec)
        : m_channel(std::move(channel)), m_headerCodec(headerCodec)
    { }

    /// Sends the request. Returns false, with reason() set, when the connection failed.
    boost::asio::awaitable<bool> write(const UpstreamCall &call);

    /// True while a request is being sent of which the upstream has taken nothing for \p limit.
    bool isUpstreamStalled(Duration limit) const
    {
        return m_isWriting && RuntimeClock::now() - m_lastTakenAt >= limit;
    }

    /// Reads the head of the answer. An answer with another attempt id is a late one to a former
    /// call, and is discarded. Returns false, with reason() set, when the connection failed or the
    /// answer is malformed.
    boost::asio::awaitable<bool> readHead();

    /// Reads some bytes of the body; an empty text at its end. Returns nothing, with reason() set,
    /// when the answer is truncated or malformed.
    boost::asio::awaitable<std::optional<std::string>> readSome();

    /// HTTP status of the answer; 0 before it was received.
    unsigned status() const { return m_parser ? m_parser->get().result_int() : 0; }
    const Fields &head() const { return m_parser->get().base(); }
    const AnswerMetadata &metadata() const { return m_metadata; }
    const std::string &reason() const { return m_reason; }

    /// Takes the answer for corrupt because of what its body contains, so that the connection is
    /// not used again.
    void reject(std::string_view reason) { setCorrupt(reason); }

    /// True when the failure is a malformed or foreign answer, not a lost connection.
    bool isCorrupt() const { return m_corrupt; }

    /// True when the head of the answer was received.
    bool hasHead() const { return m_parser.has_value() && m_parser->is_header_done(); }

    /// True when the full answer was received and the connection can be used for another call.
    bool isReusable() const;

    /// True when the answer has neither a length nor chunks, so that the end of the connection is
    /// its end.
    bool endsWithConnection() const { return m_parser.has_value() && m_parser->need_eof(); }

    /// The idle timeout in the answer's `Keep-Alive` header, if any.
    std::optional<Duration> keepAliveTimeout() const;

    const UpstreamChannelPtr &channel() const { return m_channel; }

    /// Reads the rest of the body and drops it. Returns false, with reason() set, if it is
    /// truncated or malformed, or if the exchange has dropped more than maxDiscardedBytes.
    boost::asio::awaitable<bool> discardBody();

    /// Late answers to former calls that are discarded before the call fails.
    static constexpr int maxStaleAnswers = 3;

    /// Bytes of bodies that are dropped before the call fails. Late answers and refusals are short.
    static constexpr std::size_t maxDiscardedBytes = 256U << 10U;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> readOneHead();
    bool setCorrupt(std::string_view reason);
    bool setError(const boost::system::error_code &ec);

    UpstreamChannelPtr m_channel;
    const HeaderCodec &m_headerCodec;
    std::optional<Parser> m_parser;
    AnswerMetadata m_metadata;
    std::string m_attemptId;
    std::string m_reason;
    Time m_lastTakenAt{}; ///< when the upstream last took bytes of the request
    bool m_isWriting = false;
    bool m_isHead = false; ///< the method is HEAD: the answer has no body
    bool m_corrupt = false;
    int m_informational = 0; ///< answers skipped
    std::size_t m_discarded = 0; ///< bytes of bodies
    std::vector<char> m_chunk;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway reads from and writes to the headers of calls, whatever the headers are called.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include <reachlead/callrate.h>
#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// The header fields of a call or an answer.
using Fields = boost::beast::http::fields;

/// A piece of a prompt that other prompts may begin with as well.
struct PromptPart
{
    std::uint64_t id = 0;
    TokenCount tokens = 0;
};

/// What a caller's request says of itself.
struct CallMetadata
{
    std::string attemptId; ///< one for each attempt of the caller; empty: none
    std::string apiKey; ///< the API key; empty: none
    std::optional<Duration> timeout; ///< how long the caller will wait
    std::optional<std::uint64_t> resumeAfter; ///< the last event the caller holds
    std::string model; ///< empty: not a call to a model
    TokenCount promptTokens = 0;
    TokenCount maxOutputTokens = 0;
    std::vector<PromptPart>
        prompt; ///< in order; the last one belongs to the request or its session
};

/// What a gateway says to an upstream of a call that it sends on.
struct SendMetadata
{
    UpstreamId upstream; ///< the only life of an upstream that may run it
    Duration timeout{}; ///< what is left of the time
    std::optional<AccountName> account;
    std::optional<unsigned> urgency; ///< at a model engine; 0 is the most urgent
    std::optional<std::uint64_t> resumeAfter; ///< the last event that the caller was given
    std::optional<Endpoint> fetchFrom; ///< an upstream that holds cached parts of the prompt
};

/// What an upstream says in an answer of its own state, beside the answer itself.
struct UpstreamNotice
{
    std::optional<CallRate> limit; ///< of calls from all gateways together; none: no limit
    bool isLimitValid = true; ///< false: it names one that says nothing
    bool isLeaving = false; ///< it takes no new work in this life
    std::optional<Duration> retryAfter; ///< for which it wants no calls from this gateway
};

/// What an upstream's answer says of itself.
struct AnswerMetadata
{
    std::string attemptId; ///< of the call it answers; empty: not said
    bool isSigned = false; ///< bears the upstream's signature
    bool notRun = false; ///< the upstream vouches that it did not run the call
    bool isMisdirected = false; ///< another upstream, or another life of it, has the address
    /// Nothing where the answer cannot be told to be of the upstream that was called.
    std::optional<UpstreamNotice> notice;
};

/// Translates between facts and headers. Stateless; thread-safe.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    virtual CallMetadata readCall(const Fields &fields) const = 0;
    virtual AnswerMetadata readAnswer(unsigned status, const Fields &fields) const = 0;

    /// Copies what may be passed on from a caller's fields, and adds the gateway's own.
    virtual void writeSend(const Fields &from, const SendMetadata &metadata, Fields *out) const = 0;

    /// The path of a service's readiness question, as `/health`, that the balancer asks.
    virtual std::string readyPath() const = 0;
};

/// Copies all fields that do not concern one connection alone (RFC 9110, 7.6.1).
void copyEndToEnd(const Fields &from, Fields *out);

} // namespace reachlead

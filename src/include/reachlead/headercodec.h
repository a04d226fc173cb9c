// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The metadata that a gateway reads from and writes to the headers of calls, independent of the
/// names of the header fields.

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

/// A part of a prompt that other prompts may share as a prefix.
struct PromptPart
{
    std::uint64_t id = 0;
    TokenCount tokens = 0;
};

/// Metadata of a caller's request.
struct CallMetadata
{
    std::string attemptId; ///< unique for each attempt of the caller; empty: none
    std::string apiKey; ///< empty: none
    std::optional<Duration> timeout; ///< how long the caller waits for the answer
    std::optional<std::uint64_t> resumeAfter; ///< the last event that the caller has received
    bool isResumption = false; ///< names a last event, even if its id cannot be parsed
    /// The caller's attempt that brought the first event of the stream to resume; empty: not given.
    std::string resumedAttempt;
    std::string model; ///< empty: not a call to a model
    TokenCount promptTokens = 0;
    TokenCount maxOutputTokens = 0;
    /// The caller's estimate of the output; often far off. None: not given.
    std::optional<TokenCount> estimatedOutputTokens;
    std::vector<PromptPart> prompt; ///< in order; the last part is of this request or its session
};

/// A copy of the memory of a run, from which an engine can go on with it.
struct RunCopy
{
    Endpoint engine; ///< that holds it, or that the handle belongs to
    std::string handle; ///< identifies the copy at that engine
};

/// Metadata that a gateway adds to a call for the upstream.
struct SendMetadata
{
    UpstreamId upstream; ///< the only incarnation of an upstream that may run it
    Duration timeout{}; ///< remaining time of the call
    std::optional<AccountName> account;
    std::optional<unsigned> urgency; ///< urgency rank at a model engine; 0 is the most urgent
    std::optional<std::uint64_t> resumeAfter; ///< the last event delivered to the caller
    std::optional<Endpoint> fetchFrom; ///< an upstream that has parts of the prompt cached
    std::optional<Endpoint> backUpAt; ///< the engine to send the memory of the run to as it grows
    /// The copy to go on from. An engine that does not hold it refuses the call as not run.
    std::optional<RunCopy> continueFrom;
};

/// An upstream's report of its own state in the headers of an answer.
struct UpstreamNotice
{
    std::optional<CallRate> limit; ///< of calls from all gateways together; none: no limit
    bool isLimitValid = true; ///< false: the limit in the header cannot be parsed
    bool isLeaving = false; ///< this incarnation accepts no new calls
    std::optional<Duration> retryAfter; ///< requested backoff of this gateway
};

/// Metadata of an upstream's answer.
struct AnswerMetadata
{
    std::string attemptId; ///< of the answered call; empty: not given
    bool isSigned = false; ///< has the upstream's signature field
    bool notRun = false; ///< the upstream states that it did not run the call
    bool isMisdirected = false; ///< another upstream or incarnation has the address now
    /// Nothing unless the answer is known to come from the upstream that was called.
    std::optional<UpstreamNotice> notice;
};

/// Translates between metadata and headers. Stateless; thread-safe.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    virtual CallMetadata readCall(const Fields &fields) const = 0;
    virtual AnswerMetadata readAnswer(unsigned status, const Fields &fields) const = 0;

    /// Copies the fields of a caller that may be forwarded, and adds those of the gateway.
    virtual void writeSend(const Fields &from, const SendMetadata &metadata, Fields *out) const = 0;

    /// The path of the load balancer's readiness probe of a service, such as `/health`.
    virtual std::string readyPath() const = 0;
};

/// Copies all fields except hop-by-hop fields (RFC 9110, 7.6.1).
void copyEndToEnd(const Fields &from, Fields *out);

} // namespace reachlead

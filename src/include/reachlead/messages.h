// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between routers and agents. Every frame about a request carries the id of the request
/// and the number of the attempt, so that frames of earlier attempts are recognised and dropped.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <reachlead/contentdigest.h>
#include <reachlead/error.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Incremented whenever the layout of a message changes. Sessions between different versions are
/// refused.
inline constexpr std::uint32_t protocolVersion = 5;

/// The largest frame that either side accepts, in bytes.
inline constexpr std::size_t maxFrameBytes = 2U << 20U;

/// An HTTP header that is passed on with a call or an answer.
struct Header
{
    std::string name;
    std::string value;

    template <class Archive> void serialize(Archive &ar) { ar(name, value); }
};

/// The call to make at the upstream.
struct Call
{
    std::string method;
    std::string path; ///< path and query
    std::vector<Header> headers;
    std::string body;

    template <class Archive> void serialize(Archive &ar) { ar(method, path, headers, body); }
};

/// The content that identifies equal requests, the same at routers and agents. Refers to \p call.
inline RequestContent requestContent(const AccountName &account, const Call &call)
{
    return {account, {}, call.path, call.body};
}

/// The load of an agent. Reported often; a router must not assume that it is current.
struct Load
{
    std::uint64_t sequence = 0; ///< increases with each change within one incarnation
    std::uint32_t window = 0; ///< maximum number of concurrent requests
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Of running and queued, the requests of the router that receives this.
    std::uint32_t recipientRequests = 0;
    /// Measured time between tokens of one answer; 0: no measurement yet.
    std::uint32_t tokenGapMicros = 0;
    bool leaving = false;
    /// For each tier, the running attempts that a request of a higher tier may preempt.
    std::array<std::uint32_t, tierCount> preemptible{};

    bool operator==(const Load &) const = default;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(sequence, window, running, queued, recipientRequests, tokenGapMicros, leaving,
           preemptible);
    }
};

// ---- router → agent ---------------------------------------------------------------------

/// Opens a session. A higher session number of the same router incarnation closes the earlier
/// session.
struct Hello
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    Incarnation incarnation;
    std::uint64_t session = 0;
    std::uint16_t heartbeatPort = 0; ///< UDP port of the router; 0: send no heartbeats
    std::string nonce; ///< to be signed by the agent's proof
    std::string proof; ///< of fleet membership

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, incarnation, session, heartbeatPort, nonce, proof);
    }
};

/// Dispatches an attempt of a request to the agent.
struct Dispatch
{
    RequestId id;
    Attempt attempt = 0;
    AccountName account;
    ClassName cls;
    std::uint8_t tier = 0;
    bool repeatable = true;
    bool stream = false; ///< the upstream answers with a token stream
    bool preemptible = true; ///< may be stopped for a higher tier and resumed elsewhere
    double floor = 0; ///< fraction of the window that its class keeps against higher tiers
    std::string idempotencyKey; ///< empty: none
    std::uint64_t interTokenMicros = 0; ///< target time between tokens; 0: none
    std::uint64_t resumeFrom = 0; ///< tokens that the caller has already received
    std::string resumeText; ///< the text of these tokens
    std::uint64_t credit = 0; ///< tokens that may be sent before further credit arrives
    Call call;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, account, cls, tier, repeatable, stream, preemptible, floor, idempotencyKey,
           interTokenMicros, resumeFrom, resumeText, credit, call);
    }
};

/// Cancels an attempt: the caller disconnected, the deadline passed, or its answer is corrupt.
struct Cancel
{
    RequestId id;
    Attempt attempt = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt); }
};

/// Grants the agent credit to send more tokens of an answer.
struct Credit
{
    RequestId id;
    Attempt attempt = 0;
    std::uint64_t tokens = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, tokens); }
};

/// Queries the state of an attempt that was sent on an earlier session, and resumes its answer.
struct AttemptQuery
{
    RequestId id;
    Attempt attempt = 0;
    /// Tokens of the answer that the router has received, counted from token 0.
    std::uint64_t receivedTokens = 0;
    std::uint64_t credit = 0;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, receivedTokens, credit);
    }
};

/// Reports to an agent whether the membership list marks it as leaving; it may not have learned
/// this itself.
struct Leaving
{
    bool leaving = true;

    template <class Archive> void serialize(Archive &ar) { ar(leaving); }
};

using ToAgent = std::variant<Hello, Dispatch, Cancel, Credit, AttemptQuery, Leaving>;

// ---- agent → router ---------------------------------------------------------------------

/// The agent's first frame on a connection. The proof in the router's Hello signs the nonce.
struct Challenge
{
    std::string nonce;

    template <class Archive> void serialize(Archive &ar) { ar(nonce); }
};

/// Reply to Hello.
struct Welcome
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    ZoneName zone;
    Incarnation incarnation;
    TargetName target;
    SoftwareVersion softwareVersion; ///< of the upstream
    Load load;
    std::string proof; ///< of fleet membership

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, zone, incarnation, target, softwareVersion, load, proof);
    }
};

/// The attempt was not run and will not be; this is proof.
struct Refused
{
    RequestId id;
    Attempt attempt = 0;
    ErrorKind kind = ErrorKind::None;
    std::string reason;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, kind, reason); }
};

/// The attempt was passed to the upstream.
struct Started
{
    RequestId id;
    Attempt attempt = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt); }
};

/// A part of a streamed answer.
struct Chunk
{
    RequestId id;
    Attempt attempt = 0;
    /// Index of the first token, counted from the start of the whole answer.
    std::uint64_t from = 0;
    std::uint64_t count = 0;
    std::string text;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, from, count, text); }
};

/// The last frame of an attempt that started.
struct AttemptResult
{
    RequestId id;
    Attempt attempt = 0;
    ErrorKind kind = ErrorKind::None;
    Outcome outcome = Outcome::Ran;
    std::string reason;
    std::uint64_t tokens = 0; ///< of this attempt only
    std::uint64_t hash = 0; ///< XXH64 of the text of this attempt only
    std::uint32_t status = 0; ///< HTTP status of a plain service's answer
    std::vector<Header> headers;
    std::string body;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, kind, outcome, reason, tokens, hash, status, headers, body);
    }
};

/// What the agent knows about an attempt that a router queries.
enum class AttemptState : std::uint8_t {
    /// Proves that it was not run: frames of the earlier session can no longer arrive.
    NeverReceived,
    Held, ///< running or finished; its frames follow
    Evicted ///< it may have run, but its record was evicted
};

/// Reply to AttemptQuery.
struct AttemptQueryReply
{
    RequestId id;
    Attempt attempt = 0;
    AttemptState state = AttemptState::NeverReceived;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, state); }
};

/// Reports a changed load.
struct LoadReport
{
    Load load;

    template <class Archive> void serialize(Archive &ar) { ar(load); }
};

/// The process of the upstream crashed while it had the request, whichever router had sent it.
struct UpstreamCrash
{
    ContentDigest request;
    /// Number of the crashed incarnation, counted by this agent from 1.
    std::uint64_t upstreamIncarnation = 0;

    template <class Archive> void serialize(Archive &ar) { ar(request, upstreamIncarnation); }
};

using ToRouter = std::variant<Challenge, Welcome, Refused, Started, Chunk, AttemptResult,
                              AttemptQueryReply, LoadReport, UpstreamCrash>;

/// The datagram that an agent sends to each router with a session. Datagrams may be lost,
/// duplicated or delayed; routers use the sequence to drop outdated ones.
struct Heartbeat
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    Load load;
    std::string proof; ///< of fleet membership

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, incarnation, sequence, load, proof);
    }
};

} // namespace reachlead

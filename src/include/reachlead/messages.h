// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The messages between routers and agents. Every frame about a request carries the request's id
/// and the attempt, so that a frame of an older attempt is told apart and dropped.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <reachlead/error.h>
#include <reachlead/ids.h>
#include <reachlead/requestdigest.h>

namespace reachlead {

/// Raised when a message changes shape; a session between different versions is refused.
inline constexpr std::uint32_t protocolVersion = 4;

/// The largest frame either side takes, in bytes.
inline constexpr std::size_t maxFrameBytes = 2U << 20U;

/// One HTTP header of a call that is passed on.
struct Header
{
    std::string name;
    std::string value;

    template <class Archive> void serialize(Archive &ar) { ar(name, value); }
};

/// What is asked of the upstream.
struct Call
{
    std::string method;
    std::string path; ///< path and query at the upstream
    std::vector<Header> headers;
    std::string body;

    template <class Archive> void serialize(Archive &ar) { ar(method, path, headers, body); }
};

/// The content by which a request is known again, at routers and agents alike. Refers to \p call.
inline RequestContent requestContent(const AccountName &account, const Call &call)
{
    return {account, {}, call.path, call.body};
}

/// How an agent stands, told often; a router never trusts it to be current.
struct Load
{
    std::uint64_t sequence = 0; ///< rises with each change in one incarnation; the older loses
    std::uint32_t window = 0; ///< requests it would run at once
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t recipientRequests = 0; ///< of running and queued, those of the router told
    std::uint32_t tokenGapMicros = 0; ///< measured time between tokens of one answer; 0: not yet
    bool leaving = false;
    /// Running attempts of each tier that a request of a higher tier may take the place of.
    std::array<std::uint32_t, tierCount> preemptible{};

    bool operator==(const Load &) const = default;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(sequence, window, running, queued, recipientRequests, tokenGapMicros, leaving,
           preemptible);
    }
};

// ---- router → agent ---------------------------------------------------------------------

/// Opens a session. A higher session number of the same router incarnation destroys the older.
struct Hello
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    Incarnation incarnation;
    std::uint64_t session = 0;
    std::uint16_t heartbeatPort = 0; ///< UDP port of the router; 0: no heartbeats wanted
    std::string nonce; ///< for the agent's proof
    std::string proof; ///< of belonging to the fleet

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, incarnation, session, heartbeatPort, nonce, proof);
    }
};

/// Hands a request to the agent.
struct Dispatch
{
    RequestId id;
    Attempt attempt = 0;
    AccountName account;
    ClassName cls;
    std::uint8_t tier = 0;
    bool repeatable = true;
    bool stream = false; ///< the upstream answers with a token stream
    bool preemptible = true; ///< may be stopped for a higher tier, to go on elsewhere
    double floor = 0; ///< part of the window its class keeps against higher tiers
    std::string idempotencyKey; ///< empty: none
    std::uint64_t interTokenMicros = 0; ///< target between tokens; 0: none
    std::uint64_t resumeFrom = 0; ///< tokens the caller has already
    std::string resumeText; ///< the text of those tokens
    std::uint64_t credit = 0; ///< tokens that may be sent before more credit comes
    Call call;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, account, cls, tier, repeatable, stream, preemptible, floor, idempotencyKey,
           interTokenMicros, resumeFrom, resumeText, credit, call);
    }
};

/// Stops a request: its caller is gone or its deadline passed.
struct Cancel
{
    RequestId id;
    Attempt attempt = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt); }
};

/// Lets the agent send more tokens of an answer.
struct Credit
{
    RequestId id;
    Attempt attempt = 0;
    std::uint64_t tokens = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, tokens); }
};

/// Asks what became of an attempt sent on an earlier session, and takes its answer up again.
struct AttemptQuery
{
    RequestId id;
    Attempt attempt = 0;
    std::uint64_t receivedTokens =
        0; ///< tokens of the answer the router holds, counted from token 0
    std::uint64_t credit = 0;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, receivedTokens, credit);
    }
};

/// Tells an agent that the membership list has it as leaving: it may not have been told itself.
struct Leaving
{
    bool leaving = true;

    template <class Archive> void serialize(Archive &ar) { ar(leaving); }
};

using ToAgent = std::variant<Hello, Dispatch, Cancel, Credit, AttemptQuery, Leaving>;

// ---- agent → router ---------------------------------------------------------------------

/// The agent's first frame on a connection; the router's Hello signs its nonce.
struct Challenge
{
    std::string nonce;

    template <class Archive> void serialize(Archive &ar) { ar(nonce); }
};

/// Answers Hello.
struct Welcome
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    ZoneName zone;
    Incarnation incarnation;
    TargetName target;
    Load load;
    std::string proof; ///< of belonging to the fleet

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, zone, incarnation, target, load, proof);
    }
};

/// The attempt was not run and will not be: proof.
struct Refused
{
    RequestId id;
    Attempt attempt = 0;
    ErrorKind kind = ErrorKind::None;
    std::string reason;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, kind, reason); }
};

/// The attempt was handed to the upstream.
struct Started
{
    RequestId id;
    Attempt attempt = 0;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt); }
};

/// A piece of a streamed answer.
struct Chunk
{
    RequestId id;
    Attempt attempt = 0;
    std::uint64_t from = 0; ///< index of the first token, counted over the whole answer
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
    std::uint64_t tokens = 0; ///< tokens of this attempt alone
    std::uint64_t hash = 0; ///< XXH64 of the text of this attempt alone
    std::uint32_t status = 0; ///< of a plain service's answer
    std::vector<Header> headers;
    std::string body;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, attempt, kind, outcome, reason, tokens, hash, status, headers, body);
    }
};

/// What the agent knows of an attempt that a router asked about.
enum class AttemptState : std::uint8_t {
    NeverReceived, ///< proof that it was not run: nothing of the older session can still arrive
    Held, ///< running or finished; its frames follow
    Evicted ///< it may have run, but its record was dropped
};

/// Answers Query.
struct AttemptQueryReply
{
    RequestId id;
    Attempt attempt = 0;
    AttemptState state = AttemptState::NeverReceived;

    template <class Archive> void serialize(Archive &ar) { ar(id, attempt, state); }
};

/// Tells a changed load.
struct LoadReport
{
    Load load;

    template <class Archive> void serialize(Archive &ar) { ar(load); }
};

/// The upstream's process ended under a request, whichever router it came from.
struct UpstreamCrash
{
    RequestDigest request;
    std::uint64_t upstreamIncarnation =
        0; ///< numbers the upstream's lives that this agent saw end, from 1

    template <class Archive> void serialize(Archive &ar) { ar(request, upstreamIncarnation); }
};

using ToRouter = std::variant<Challenge, Welcome, Refused, Started, Chunk, AttemptResult,
                              AttemptQueryReply, LoadReport, UpstreamCrash>;

/// The datagram an agent sends to each router that holds a session. Datagrams may be lost,
/// doubled or late; the sequence lets the router drop the older.
struct Heartbeat
{
    std::uint32_t version = protocolVersion;
    VmName vm;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    Load load;
    std::string proof; ///< of belonging to the fleet

    template <class Archive> void serialize(Archive &ar)
    {
        ar(version, vm, incarnation, sequence, load, proof);
    }
};

} // namespace reachlead

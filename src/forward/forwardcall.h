// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One caller's request on its way: chosen upstreams, sends, the answer back.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <reachlead/eventsplitter.h>
#include <reachlead/forwardpolicy.h>
#include <reachlead/requestdigest.h>

#include "forwarder.h"
#include "upstream/upstreamexchange.h"

namespace reachlead {

/// Runs one request from its arrival to the end of its answer. Lives on the coroutine's frame.
class ForwardCall
{
public:
    ForwardCall(ForwardContext &shared, CallerStream &caller, CallerHttpRequest request);
    ~ForwardCall();
    ForwardCall(const ForwardCall &) = delete;
    ForwardCall &operator=(const ForwardCall &) = delete;

    /// True when the connection may take another request.
    boost::asio::awaitable<bool> run();

    /// Answers without an upstream, with a status of the gateway's own. As run().
    boost::asio::awaitable<bool> refuse(const Error &error);

    /// Ends the call at once, as the process ends: what is under way at the upstream is broken off.
    void terminate() { stop(Stop::ProcessEnds); }

private:
    /// Why a send was broken off from this side.
    enum class Stop : std::uint8_t { None, CallerDisconnected, Expired, ProcessEnds };

    // Before the first send.
    std::optional<Error> resolve();
    void setLimit();
    void watch();
    void stop(Stop why);

    // Sends.
    std::optional<ForwardDecision> quarantined();
    SelectionQuery makeAsk() const;
    boost::asio::awaitable<PlacementResult> choose();
    boost::asio::awaitable<std::optional<ForwardDecision>> sendOnce();
    boost::asio::awaitable<UpstreamChannelPtr> openChannel(const UpstreamEntry &entry);
    boost::asio::awaitable<SendResult> exchange(const UpstreamEntry &entry);
    boost::asio::awaitable<SendResult> takeAnswer();
    boost::asio::awaitable<SendResult> takeWhole();
    boost::asio::awaitable<SendResult> takeEvents();
    boost::asio::awaitable<SendResult> takeLong(std::string first);
    boost::asio::awaitable<bool> deliverEvents(const std::string &events);
    UpstreamCall makeCall(const UpstreamEntry &entry) const;
    SendResult brokenEnd() const;
    SendResult judgeHead() const;
    ForwardState stateNow(SendResult end);
    void noteEnd(const UpstreamEntry &entry, SendResult end);
    void noteLost(const UpstreamEntry &entry);
    void noteStatement();
    void noteFirst();
    void noteBegan();
    void notePause(Time now);
    std::string_view missedBound() const;
    RequestContent content() const;
    const RequestDigest &digest();
    bool mayBeSuspect() const;

    // The answer to the caller.
    boost::asio::awaitable<bool> finish(ForwardDecision decision);
    boost::asio::awaitable<bool> deliverWhole();
    boost::asio::awaitable<bool> sendHead();
    AnswerHead makeHead() const;
    std::int64_t stateAgeMs() const;
    void report(std::string_view outcome, ErrorKind kind, unsigned status);

    ErrorKind kindWithoutUpstream() const;
    Duration timeLeft() const { return m_limit - RuntimeClock::now(); }
    ErrorKind kindOfStop() const;

    ForwardContext &m_shared;
    std::shared_ptr<std::set<ForwardCall *>> m_calls; ///< with this one
    CallerStream &m_caller;
    CallerHttpRequest m_request;
    CallMetadata m_metadata;
    std::optional<RequestDigest> m_digest; ///< once it was asked for: bodies may be long
    RouteTablePtr m_table; ///< in force when the request arrived
    const Route *m_route = nullptr;
    const AccountKeys *m_account = nullptr;
    ServiceName m_service;
    std::optional<ZoneSet> m_zones; ///< whose upstreams may work on it; nothing: all
    Time m_arrived;
    Time m_limit; ///< by when the caller must have its answer
    Timer m_timer; ///< ends the call at m_limit
    Stop m_stop = Stop::None;
    std::shared_ptr<int> m_alive = std::make_shared<int>(); ///< ends with this object

    std::set<UpstreamId> m_tried;
    unsigned m_sends = 0; ///< that may have reached an upstream
    unsigned m_connectFailures = 0; ///< that never left, as in ForwardState
    unsigned m_connectRefusals = 0; ///< as in ForwardState
    bool m_mayHaveRun = false;
    UpstreamId m_lastUpstream;
    std::string m_lastReason;
    bool m_nobodyListened = false; ///< at the upstream that the last connection was opened to
    double m_lastCost = 0;
    VmName m_placedBy; ///< the gateway that chose the last upstream
    Duration m_placing{}; ///< time that the choices took
    TokenCount m_toRead = 0; ///< tokens that the last upstream was believed to have to read
    TokenCount m_ahead = 0; ///< as in Choice, of the send under way
    Time m_sentAt{}; ///< of the send under way
    bool m_isAwaited = false; ///< its first event is still to come
    std::optional<Duration> m_comeBack; ///< refused early: when it is of use to come again
    TokenCount m_unread = 0; ///< tokens of the send under way, without a first event
    bool m_isBrief = false; ///< the prompt counts as a short one
    std::optional<Endpoint> m_fetchFrom; ///< of the send under way: whose cache to copy from

    UpstreamChannelPtr m_channel; ///< of the send under way
    std::optional<UpstreamExchange> m_exchange;
    EventSplitter m_events;
    std::string m_wholeBody;
    bool m_headDelivered = false;
    bool m_bodyWhole = false; ///< an answer in pieces was delivered to its end
    bool m_hasBegun = false; ///< an upstream is known to have worked on it
    std::optional<Time> m_firstByte;
    Time m_lastEvent{}; ///< when events were last passed on
    Duration m_longestPause{}; ///< between events that were passed on
    std::uint64_t m_unreadAtPause = 0; ///< prompt tokens at the engine as the longest pause ended
};

} // namespace reachlead

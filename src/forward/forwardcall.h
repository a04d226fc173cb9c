// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Forwards one caller's request: upstream selection, sends, and delivery of the answer.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <reachlead/contentdigest.h>
#include <reachlead/eventsplitter.h>
#include <reachlead/forwardpolicy.h>

#include "forwardattempt.h"
#include "forwarder.h"

namespace reachlead {

/// Handles one request from its arrival to the end of its answer. Lives in the coroutine frame.
class ForwardCall
{
public:
    ForwardCall(ForwardContext &context, CallerStream &caller, CallerHttpRequest request);
    ~ForwardCall();
    ForwardCall(const ForwardCall &) = delete;
    ForwardCall &operator=(const ForwardCall &) = delete;

    /// Returns true if the connection can take another request.
    boost::asio::awaitable<bool> run();

    /// Sends an error answer made by the gateway itself. Returns the same as run().
    boost::asio::awaitable<bool> refuse(const Error &error);

    /// Ends the call at once because the process is exiting; closes its connection to the upstream.
    void terminate() { stop(Stop::ProcessExiting); }

    /// Cancels the call if it is quarantined and its answer has not begun.
    void cancelIfQuarantined();

private:
    /// Why this gateway stopped the call.
    enum class Stop : std::uint8_t {
        None,
        CallerDisconnected,
        CallerStalled, ///< the upstream cut an answer that the caller did not read
        Expired,
        ProcessExiting,
        Quarantined
    };

    // Preparation
    std::optional<Error> resolve();
    Error denial(ErrorKind kind, std::string reason) const;
    void setDeadline();
    void installStopHandlers();
    void startTimer(Time at, Stop why);
    void stop(Stop why);

    // Room for the bytes that the call holds
    boost::asio::awaitable<std::optional<Error>> acquireBuffers();
    boost::asio::awaitable<bool> makeRoom(ByteCount extra, Time until);
    bool tryRoom(ByteCount extra);
    ByteCount baseRoom() const;
    bool isLostToCaller(SendResult result) const;
    void recordStall();

    // Sends
    std::optional<ErrorKind> quarantineKind();
    std::optional<ForwardDecision> checkQuarantine();
    bool outlastsProcess() const;
    SelectionQuery makeSelectionQuery() const;
    std::uint64_t requestKey() const;
    boost::asio::awaitable<PlacementResult> choose();
    boost::asio::awaitable<std::optional<ForwardDecision>> sendOnce();
    boost::asio::awaitable<std::optional<ForwardDecision>> sendTo(UpstreamEntry entry);
    void beginSend(const UpstreamEntry &entry, const Selection &selection, const VmName &placedBy);
    boost::asio::awaitable<UpstreamChannelPtr> openChannel(const UpstreamEntry &entry);
    boost::asio::awaitable<SendResult> exchange(const UpstreamEntry &entry);
    boost::asio::awaitable<SendResult> receiveAnswer();
    boost::asio::awaitable<SendResult> bufferAnswer();
    std::optional<std::uint64_t> requestedPosition() const;
    bool lacksFirstEvent() const;
    boost::asio::awaitable<SendResult> relayEvents();
    bool isCallersPositionInDoubt(EventFault fault) const;
    void logRejection(const EventRejection &rejection) const;
    SendResult rejectEvent(const EventRejection &rejection);
    boost::asio::awaitable<SendResult> relayBody(std::string first);
    boost::asio::awaitable<bool> sendEvents(const std::string &events);
    UpstreamCall makeCall(const UpstreamEntry &entry) const;
    SendResult failureResult() const;
    SendResult callerLost();
    SendResult classifyHead() const;
    ForwardState makeForwardState(SendResult result);
    void recordResult(const UpstreamEntry &entry, SendResult result);
    void recordUpstreamLost(const UpstreamEntry &entry);
    void recordBegin();
    void applyNotice();
    void recordFirstByte();
    void recordAnswerBegin();
    void recordExecutionStart();
    void recordTokenGap(Time now);
    std::string_view missedTarget() const;
    bool hasBegun() const { return m_headDelivered || m_attempt->firstByteAt; }
    const std::string &reason() const
    {
        return m_refusalReason.empty() ? m_attempt->reason : m_refusalReason;
    }
    RequestContent content() const;
    PartContent partContent(const PromptPart &part) const;
    std::span<const PromptPart> sharedParts() const;
    const ContentDigest &digest();
    const PromptContents &promptContents();
    bool mayBeSuspect() const;

    // Copies of the run at other engines
    void chooseBackup(const UpstreamEntry &entry);
    std::vector<BackupCandidate> backupCandidates();
    const UpstreamEntry *copyHolder() const;
    boost::asio::awaitable<std::optional<ForwardDecision>> continueRun();
    void recordContinuation(SendResult result);

    // Versions of streams
    bool isResumption() const;
    StreamKey streamKey(std::string_view attemptId) const;
    boost::asio::awaitable<std::optional<Error>> bindResumedStream();
    boost::asio::awaitable<StreamLookup> findBinding();
    boost::asio::awaitable<StreamLookup> lookUpStream();
    bool isFinal(const StreamLookup &found) const;
    void logResumption(const StreamLookup &found) const;
    boost::asio::awaitable<std::optional<StreamBinding>>
    onlyRecentVersion(std::set<SoftwareVersion> versions);
    boost::asio::awaitable<bool> waitForVerifiedState();
    boost::asio::awaitable<std::optional<std::set<SoftwareVersion>>>
    recentVersions(ServiceName service);
    bool checkVersion(const UpstreamEntry &entry);
    void recordStream();
    void shareBinding(std::string_view attemptId, const StreamBinding &binding);
    void bindToVersion();
    Duration timeUntilCallerGivesUp() const;

    // Answer to the caller
    boost::asio::awaitable<bool> finish(ForwardDecision decision);
    boost::asio::awaitable<bool> deliverAnswer();
    boost::asio::awaitable<bool> sendHead();
    AnswerHead makeHead() const;
    std::int64_t stateAgeMs() const;
    void logResult(std::string_view outcome, ErrorKind kind, unsigned status);
    void recordOutcome(ErrorKind kind);

    ErrorKind unavailableKind() const;
    Duration timeLeft() const { return m_deadline - RuntimeClock::now(); }
    ErrorKind stopKind(bool notRun) const;

    ForwardContext &m_context;
    std::shared_ptr<std::set<ForwardCall *>> m_activeCalls; ///< includes this one
    CallerStream &m_caller;
    CallerHttpRequest m_request;
    CallMetadata m_metadata;
    std::optional<ContentDigest> m_digest; ///< computed on first use, as bodies may be long
    std::optional<PromptContents> m_promptContents; ///< as m_digest
    RouteTablePtr m_table; ///< in force when the request arrived
    const Route *m_route = nullptr;
    const AccountKeys *m_account = nullptr;
    ServiceName m_service;
    std::optional<ZoneSet> m_zones; ///< zones whose upstreams may be used; none: all zones
    Time m_arrivedAt;
    Time m_deadline; ///< of the whole answer
    Timer m_timer; ///< stops the call at m_deadline
    Stop m_stop = Stop::None;
    ByteLease m_lease; ///< of the request, the call's buffers, and the buffered answer
    ByteCount m_headCost; ///< bytes that the head of the request takes
    Signal m_wakeUp; ///< notified when there is room, and when the call is stopped
    bool m_isFinishing = false; ///< the last answer is being sent
    ErrorKind m_quarantine = ErrorKind::None; ///< of Stop::Quarantined
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(); ///< expires with this object

    std::unique_ptr<ForwardAttempt> m_attempt; ///< the last one; an empty one before the first
    std::set<UpstreamId> m_tried;
    unsigned m_sends = 0; ///< attempts that may have reached an upstream
    unsigned m_connectFailures = 0; ///< as in ForwardState
    unsigned m_connectRefusals = 0; ///< as in ForwardState
    /// Set once the version that began the stream is known: before the first send of a resumed
    /// stream, and with the first event of a new one.
    std::optional<StreamBinding> m_binding;
    std::optional<SoftwareVersion> m_sharedVersion; ///< last recorded for other gateways
    bool m_wasMoved = false; ///< another version was recorded before
    bool m_mayHaveRun = false;
    std::string m_refusalReason; ///< why the call is not sent, or not sent again
    Duration m_placementDuration{}; ///< total duration of upstream selections
    Duration m_waited{}; ///< for an upstream with room
    CancelSignal m_cancelWait;
    std::optional<Duration> m_retryAfter; ///< of an early refusal or a quarantine
    bool m_continuesNext = false; ///< the next send goes on from the copy of the last attempt
    unsigned m_continuations = 0; ///< sends that went on from a copy; included in m_sends

    EventSplitter m_events; ///< of all attempts: a stream may go on in the next one
    bool m_headDelivered = false;
    bool m_isBodyRelayed = false; ///< bytes of a body that is no event stream were passed on
    bool m_isExecutionStarted = false; ///< an upstream is known to have started execution
    std::optional<Time> m_firstByteAt; ///< of the answer that is passed on
    Time m_lastEventAt{}; ///< when events were last passed on
    Duration m_maxTokenGap{}; ///< longest time between events passed on
    std::uint64_t m_prefillTokensAtMaxGap = 0; ///< queued at the engine when that gap ended
};

} // namespace reachlead

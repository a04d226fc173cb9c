// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "forwardcall.h"

#include <algorithm>
#include <iterator>

#include <reachlead/log.h>

#include "refusal.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Used when the caller's headers name no timeout.
constexpr Duration defaultTimeout = seconds(60);

/// Parts of a prompt that evidence of crashes is kept for; more than the prompts in use have.
constexpr std::size_t maxSharedParts = 16;

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

ForwardCall::ForwardCall(ForwardContext &context, CallerStream &caller, CallerHttpRequest request)
    : m_context(context), m_activeCalls(context.activeCalls), m_caller(caller),
      m_request(std::move(request)), m_metadata(context.headerCodec.readCall(m_request)),
      m_table(context.state.table()), m_arrivedAt(RuntimeClock::now()),
      m_deadline(m_arrivedAt + defaultTimeout), m_timer(context.io), m_lease(caller.takeLease()),
      m_headCost(caller.headCost()), m_wakeUp(context.io.get_executor()),
      m_attempt(std::make_unique<ForwardAttempt>())
{
    m_context.counters.add(Counter::RequestsAccepted);
    m_context.counters.adjust(Gauge::OpenRequests, 1);
    m_activeCalls->insert(this);
}

ForwardCall::~ForwardCall()
{
    m_activeCalls->erase(this);
    m_caller.clearOnDisconnected();
    m_context.counters.adjust(Gauge::OpenRequests, -1);
}

asio::awaitable<bool> ForwardCall::run()
{
    if (const auto error = resolve())
        co_return co_await refuse(*error);
    setDeadline();
    installStopHandlers();
    std::optional<Error> error = co_await acquireBuffers();
    if (!error)
        error = co_await bindResumedStream();
    if (error) {
        m_timer.cancel();
        co_return co_await refuse(*error);
    }
    std::optional<ForwardDecision> decision;
    while (!decision)
        decision = co_await sendOnce();
    m_timer.cancel();
    const bool keepAlive = co_await finish(*decision);
    recordStall();
    co_return keepAlive;
}

std::optional<Error> ForwardCall::resolve()
{
    if (!m_table)
        return Error{ErrorKind::SettingsAbsent, "no configuration is known yet"};
    const bool hasUpstreams = !m_context.state.directory().entries().empty();
    if (hasUpstreams && !m_context.state.isReady())
        return Error{ErrorKind::SettingsAbsent, "the evacuated zones are not known yet"};
    const auto target = m_request.target();
    m_route =
        m_table->match(m_request[http::field::host], targetPath({target.data(), target.size()}));
    if (m_route == nullptr)
        return denial(ErrorKind::PathUnknown, "no route matches this host and path");
    if (!m_route->anonymous && !m_table->config().accounts.empty()) {
        m_account = m_table->accountForKey(m_metadata.apiKey);
        if (m_account == nullptr)
            return denial(ErrorKind::KeyUnknown, "no account holds the key");
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    const ServiceName *service = pickService(*m_route, draw(m_context.random));
    if (service == nullptr)
        return Error{ErrorKind::NoUpstream, "the route names no service"};
    m_service = *service;
    static const std::vector<RegionName> anyRegion;
    m_zones = allowedZones(m_context.state.regions(), m_route->regions,
                           m_account != nullptr ? m_account->regions : anyRegion);
    return std::nullopt;
}

/// Denies a call that the configuration does not allow. One that is not known to be recent is no
/// proof of that: callers do not repeat denied calls.
Error ForwardCall::denial(ErrorKind kind, std::string reason) const
{
    const bool isKnown = m_context.state.hasRecentConfig();
    return {isKnown ? kind : ErrorKind::SettingsOutdated, std::move(reason)};
}

void ForwardCall::setDeadline()
{
    Duration timeout = m_metadata.timeout.value_or(defaultTimeout);
    if (m_route->timeoutMs > 0)
        timeout = std::min<Duration>(timeout, milliseconds(m_route->timeoutMs));
    m_deadline = m_arrivedAt + timeout;
}

void ForwardCall::stop(Stop why)
{
    if (m_stop != Stop::None)
        return;
    m_stop = why;
    m_wakeUp.notify();
    m_cancelWait.cancel();
    if (m_attempt->channel)
        m_attempt->channel->close();
    // Otherwise the call would last until the caller reads again.
    const bool isUnfinished = !m_isFinishing || why == Stop::CallerStalled;
    if (isUnfinished && m_caller.writes().isWriting())
        m_caller.abort();
}

void ForwardCall::installStopHandlers()
{
    // The handler of an expired timer may run after this object was destroyed.
    const auto stopIfAlive = [this, alive = std::weak_ptr(m_lifetime)](Stop why) {
        if (!alive.expired())
            stop(why);
    };
    m_caller.onDisconnected([stopIfAlive] { stopIfAlive(Stop::CallerDisconnected); });
    if (m_caller.isDisconnected())
        stop(Stop::CallerDisconnected);
    startTimer(m_deadline, Stop::Expired);
}

void ForwardCall::startTimer(Time at, Stop why)
{
    m_timer.expires_at(at);
    m_timer.async_wait([this, why, alive = std::weak_ptr(m_lifetime)](const auto &ec) {
        if (!ec && !alive.expired())
            stop(why);
    });
}

RequestContent ForwardCall::content() const
{
    const auto host = m_request[http::field::host];
    const auto target = m_request.target();
    RequestContent content;
    if (m_account != nullptr)
        content.account = m_account->name;
    content.host = {host.data(), host.size()};
    content.target = {target.data(), target.size()};
    content.body = m_request.body();
    return content;
}

const ContentDigest &ForwardCall::digest()
{
    if (!m_digest)
        m_digest = computeDigest(content());
    return *m_digest;
}

PartContent ForwardCall::partContent(const PromptPart &part) const
{
    return {m_account != nullptr ? m_account->name : AccountName(), m_metadata.model, part.id};
}

/// The parts of the prompt that other requests may contain: all but the last.
std::span<const PromptPart> ForwardCall::sharedParts() const
{
    const std::span<const PromptPart> all = m_metadata.prompt;
    return all.first(std::min(all.empty() ? 0 : all.size() - 1, maxSharedParts));
}

const PromptContents &ForwardCall::promptContents()
{
    if (m_promptContents)
        return *m_promptContents;
    m_promptContents.emplace();
    if (m_account != nullptr)
        m_promptContents->owner = computeOwnerDigest(m_account->name, m_metadata.model);
    for (const PromptPart &part : sharedParts())
        m_promptContents->parts.push_back(computeDigest(partContent(part)));
    return *m_promptContents;
}

/// Returns false if no crash is known for this request or a shared part of its prompt, neither here
/// nor from other gateways. Compares only fast hashes, which saves the digests of most requests.
bool ForwardCall::mayBeSuspect() const
{
    const CrashTracker &crashes = m_context.state.crashes();
    if (crashes.isEmpty())
        return false;
    std::vector<std::uint64_t> fastHashes{computeFastHash(content())};
    std::ranges::transform(
        sharedParts(), std::back_inserter(fastHashes),
        [this](const PromptPart &part) { return computeFastHash(partContent(part)); });
    return crashes.mayContain(fastHashes);
}

/// Returns why the request is quarantined, and sets when it may return; nothing if it may be sent.
std::optional<ErrorKind> ForwardCall::quarantineKind()
{
    if (!mayBeSuspect())
        return std::nullopt;
    const CrashTracker &crashes = m_context.state.crashes();
    const Time now = RuntimeClock::now();
    if (const auto remaining = crashes.remainingQuarantine(digest(), now)) {
        m_retryAfter = remaining;
        m_refusalReason = "upstreams crashed while running this request, at any of the gateways";
        return ErrorKind::RequestQuarantined;
    }
    const auto remaining = crashes.remainingQuarantine(promptContents().parts, now);
    if (!remaining)
        return std::nullopt;
    m_retryAfter = remaining;
    m_refusalReason = "upstreams crashed as they began to answer on a part of this prompt";
    return ErrorKind::PromptPartQuarantined;
}

void ForwardCall::cancelIfQuarantined()
{
    if (m_route == nullptr || hasBegun() || m_stop != Stop::None)
        return;
    if (const std::optional<ErrorKind> kind = quarantineKind()) {
        m_quarantine = *kind;
        stop(Stop::Quarantined);
    }
}

ErrorKind ForwardCall::stopKind(bool notRun) const
{
    if (m_stop == Stop::Quarantined)
        return notRun ? m_quarantine : ErrorKind::QuarantinedInFlight;
    if (m_stop == Stop::CallerStalled)
        return ErrorKind::CallerStalled;
    if (m_stop == Stop::CallerDisconnected)
        return ErrorKind::CallerDisconnected;
    if (m_stop == Stop::ProcessExiting)
        return m_sends > 0 ? ErrorKind::OutcomeUnknown : ErrorKind::RouterStopping;
    return m_sends > 0 ? ErrorKind::DeadlineRunning : ErrorKind::DeadlineQueued;
}

asio::awaitable<bool> ForwardCall::finish(ForwardDecision decision)
{
    m_isFinishing = true;
    if (m_context.pressure)
        startTimer(std::max(m_deadline, RuntimeClock::now())
                       + m_context.pressure->options().stallLimit,
                   Stop::CallerStalled);
    switch (decision.step) {
    case ForwardStep::Deliver:
        co_return co_await deliverAnswer();
    case ForwardStep::Abort:
        logResult("cut", decision.kind, m_attempt->exchange ? m_attempt->exchange->status() : 0);
        m_caller.abort();
        co_return false;
    case ForwardStep::Refuse:
    case ForwardStep::Fail:
    case ForwardStep::Retry:
    case ForwardStep::Continue:
        break;
    }
    const Error error{decision.kind, reason()};
    co_return co_await refuse(error);
}

asio::awaitable<bool> ForwardCall::deliverAnswer()
{
    const bool keepAlive =
        m_request.version() >= 11 && m_request.keep_alive() && !m_context.stopping;
    bool sent = false;
    if (m_headDelivered) {
        if (m_attempt->isBodyComplete)
            sent = co_await m_caller.finishAnswer();
    } else {
        recordAnswerBegin();
        FullAnswer answer;
        answer.version(11);
        copyEndToEnd(m_attempt->exchange->head(), &answer.base());
        answer.result(m_attempt->exchange->status());
        answer.keep_alive(keepAlive);
        answer.body() = std::move(m_attempt->body);
        if (m_request.method() == http::verb::head)
            answer.content_length(boost::none);
        else
            answer.prepare_payload();
        sent = co_await m_caller.send(std::move(answer));
    }
    m_context.counters.add(Counter::RequestsCompleted);
    m_context.latencies.recordLatency(LatencyKind::Whole, RuntimeClock::now() - m_arrivedAt);
    logResult(sent ? "delivered" : "caller-lost", ErrorKind::None, m_attempt->exchange->status());
    co_return sent &&keepAlive;
}

asio::awaitable<bool> ForwardCall::refuse(const Error &error)
{
    m_context.counters.refused(error.kind);
    if (reason().empty())
        m_refusalReason = error.reason;
    if (m_caller.isDisconnected()) {
        logResult("caller-gone", error.kind, 0);
        co_return false;
    }
    const bool keepAlive =
        m_request.version() >= 11 && m_request.keep_alive() && !m_context.stopping;
    std::optional<Duration> callerTimeLeft;
    if (m_metadata.timeout)
        callerTimeLeft = *m_metadata.timeout - (RuntimeClock::now() - m_arrivedAt);
    const auto retryAfter =
        m_retryAfter ? m_retryAfter : computeRetryAfter(error.kind, callerTimeLeft);
    FullAnswer answer =
        makeRefusal(error, {retryAfter, keepAlive, m_request.method() == http::verb::head});
    logResult("refused", error.kind, answer.result_int());
    const bool sent = co_await m_caller.send(std::move(answer));
    co_return sent &&keepAlive;
}

/// Returns the age of the last confirmed state of the gateway, or -1 if there was none.
std::int64_t ForwardCall::stateAgeMs() const
{
    const std::optional<Time> at = m_context.state.currentAt();
    return at ? static_cast<std::int64_t>(toMillis(RuntimeClock::now() - *at)) : -1;
}

/// Counts a call that was for an upstream, by its urgency.
void ForwardCall::recordOutcome(ErrorKind kind)
{
    if (m_route == nullptr || m_service.text.empty())
        return;
    const bool hasBegun = kind == ErrorKind::None || m_firstByteAt.has_value();
    m_context.rankOutcomes.add(
        {m_service, m_route->priority, kind, hasBegun, isResumption(), m_metadata.promptTokens});
    if (m_context.selector != nullptr && !hasBegun && isForLackOfCapacity(kind))
        m_context.selector->recordUnserved(m_service, m_route->priority);
}

void ForwardCall::logResult(std::string_view outcome, ErrorKind kind, unsigned status)
{
    const Time now = RuntimeClock::now();
    recordOutcome(kind);
    LogLine(LogLevel::Info, "request-ended")
        .with("attempt", m_metadata.attemptId)
        .with("outcome", outcome)
        .with("kind", errorRow(kind).name)
        .with("status", status)
        .with("route", m_route != nullptr ? m_route->name : "-")
        .with("account", m_account != nullptr ? m_account->name.text : "-")
        .with("rank", m_route != nullptr ? m_route->priority : 0)
        .with("config", m_table ? m_table->version() : 0)
        .with("registry", m_context.state.directory().revision().number)
        .with("state_age_ms", stateAgeMs())
        .with("upstream", m_attempt->upstream.text)
        .with("version", m_attempt->version.text)
        .with("resumes", m_metadata.resumedAttempt)
        .with("resume_after", m_metadata.resumeAfter.value_or(0))
        .with("cost", static_cast<std::int64_t>(m_attempt->cost))
        .with("speed", m_attempt->speed)
        .with("placed_by", m_attempt->placedBy.text)
        .with("placing_ms", static_cast<std::int64_t>(toMillis(m_placementDuration)))
        .with("waited_ms", static_cast<std::int64_t>(toMillis(m_waited)))
        .with("fetch_from", m_attempt->fetchFrom ? m_attempt->fetchFrom->text() : "-")
        .with("sends", m_sends)
        .with("misses", m_connectFailures)
        .with("absences", m_connectRefusals)
        .with("prompt", m_metadata.promptTokens)
        .with("to_read", m_attempt->prefillTokens)
        .with("ahead", m_attempt->tokensToFirstEvent)
        .with("come_back_ms",
              m_retryAfter ? static_cast<std::int64_t>(toMillis(*m_retryAfter)) : -1)
        .with("events", m_events.eventCount())
        .with("longest_pause_ms", static_cast<std::int64_t>(toMillis(m_maxTokenGap)))
        .with("unread_then", m_prefillTokensAtMaxGap)
        .with("missed", missedTarget())
        .with("first_ms",
              m_firstByteAt ? static_cast<std::int64_t>(toMillis(*m_firstByteAt - m_arrivedAt))
                            : -1)
        .with("ms", static_cast<std::int64_t>(toMillis(now - m_arrivedAt)))
        .with("ms_left", static_cast<std::int64_t>(toMillis(m_deadline - now)))
        .with("reason", reason());
}

} // namespace reachlead

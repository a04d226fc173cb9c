// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "forwardcall.h"

#include <algorithm>

#include <reachlead/log.h>

#include "crashwatch.h"
#include "refusal.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A connection that is not open after this is given up: some times the round trip between zones.
constexpr Duration connectLimit = milliseconds(300);

/// A caller that names no patience of its own.
constexpr Duration defaultPatience = seconds(60);

/// Another send is of use only with this much of the route's target left.
constexpr int targetPartForSend = 8;
constexpr Duration leastTimeForSend = milliseconds(20);

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

ForwardCall::ForwardCall(ForwardShared &shared, CallerStream &caller, CallerRequest request)
    : m_shared(shared), m_calls(shared.calls), m_caller(caller), m_request(std::move(request)),
      m_facts(shared.dialect.readCall(m_request)), m_table(shared.state.table()),
      m_arrived(RuntimeClock::now()), m_limit(m_arrived + defaultPatience), m_timer(shared.io)
{
    m_shared.counters.add(Count::RequestsAccepted);
    m_shared.counters.shift(Gauge::OpenRequests, 1);
    m_calls->insert(this);
}

ForwardCall::~ForwardCall()
{
    m_calls->erase(this);
    m_caller.forgetGone();
    m_shared.counters.shift(Gauge::OpenRequests, -1);
}

asio::awaitable<bool> ForwardCall::run()
{
    if (const auto error = resolve())
        co_return co_await refuse(*error);
    setLimit();
    watch();
    while (true) {
        const auto decision = co_await sendOnce();
        if (!decision)
            continue;
        m_timer.cancel();
        co_return co_await finish(*decision);
    }
}

std::optional<Error> ForwardCall::resolve()
{
    if (!m_table)
        return Error{ErrorKind::SettingsAbsent, "no configuration is known yet"};
    const auto target = m_request.target();
    m_route =
        m_table->match(m_request[http::field::host], targetPath({target.data(), target.size()}));
    if (m_route == nullptr)
        return Error{ErrorKind::PathUnknown, "no route takes this host and path"};
    if (!m_route->anonymous && !m_table->config().accounts.empty()) {
        m_account = m_table->accountOf(m_facts.key);
        if (m_account == nullptr)
            return Error{ErrorKind::KeyUnknown, "no account holds the key"};
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    const ServiceName *service = pickService(*m_route, draw(m_shared.random));
    if (service == nullptr)
        return Error{ErrorKind::NoUpstream, "the route names no service"};
    m_service = *service;
    return std::nullopt;
}

void ForwardCall::setLimit()
{
    Duration patience = m_facts.patience.value_or(defaultPatience);
    if (m_route->timeoutMs > 0)
        patience = std::min<Duration>(patience, milliseconds(m_route->timeoutMs));
    m_limit = m_arrived + patience;
}

void ForwardCall::stop(Stop why)
{
    if (m_stop != Stop::None)
        return;
    m_stop = why;
    if (m_channel)
        m_channel->close();
}

void ForwardCall::watch()
{
    // A timer that has fired already calls back even after this call has ended.
    const auto stopIfAlive = [this, alive = std::weak_ptr(m_alive)](Stop why) {
        if (!alive.expired())
            stop(why);
    };
    m_caller.onGone([stopIfAlive] { stopIfAlive(Stop::CallerGone); });
    if (m_caller.isGone())
        stop(Stop::CallerGone);
    m_timer.expires_at(m_limit);
    m_timer.async_wait([stopIfAlive](const boost::system::error_code &ec) {
        if (!ec)
            stopIfAlive(Stop::Expired);
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

const RequestDigest &ForwardCall::digest()
{
    if (!m_digest)
        m_digest = digestOf(content());
    return *m_digest;
}

/// Whether upstreams may have ended under this request, here or at gateways that told of it.
bool ForwardCall::mayBeSuspect() const
{
    const CrashBook &crashes = m_shared.state.crashes();
    return !crashes.isEmpty() && crashes.mayKnow(markOf(content()));
}

ErrorKind ForwardCall::kindOfStop() const
{
    if (m_stop == Stop::CallerGone)
        return ErrorKind::CallerGone;
    if (m_stop == Stop::ProcessEnds)
        return m_sends > 0 ? ErrorKind::OutcomeUnknown : ErrorKind::RouterStopping;
    return m_sends > 0 ? ErrorKind::DeadlineRunning : ErrorKind::DeadlineQueued;
}

ChoiceAsk ForwardCall::makeAsk() const
{
    ChoiceAsk ask{m_service, m_facts.model, m_facts.prompt, &m_tried, m_table->service(m_service)};
    ask.patience = {milliseconds(m_route->targetLatencyMs), timeLeft(),
                    m_table->isMostUrgent(*m_route, m_service), m_route->priority};
    ask.mayRefuse = m_tried.empty() && !m_facts.resumeAfter;
    return ask;
}

/// Chooses an upstream, or has it chosen.
asio::awaitable<PlacedChoice> ForwardCall::choose()
{
    GatewayState &state = m_shared.state;
    ChoiceAsk ask = makeAsk();
    PlacedChoice placed;
    if (m_shared.adviser == nullptr) {
        placed.choice = state.book().choose(ask, state.directory(), RuntimeClock::now());
        co_return placed;
    }
    placed = co_await m_shared.adviser->choose(std::move(ask));
    m_placedBy = placed.by;
    m_placing += placed.took;
    co_return placed;
}

/// What ends the call when its request is known to end upstreams. One such request ended 39 engines
/// in 18 s, as each call that it came with was sent to another engine after the first was lost.
std::optional<ForwardDecision> ForwardCall::quarantined()
{
    if (!mayBeSuspect())
        return std::nullopt;
    const auto left = m_shared.state.crashes().leftFor(digest(), RuntimeClock::now());
    if (!left)
        return std::nullopt;
    m_comeBack = left;
    m_lastReason = "upstreams ended under this request, at whatever gateway it came";
    if (m_headDelivered)
        return ForwardDecision{ForwardStep::Cut, ErrorKind::RequestQuarantined};
    if (m_mayHaveRun)
        return ForwardDecision{ForwardStep::Fail, ErrorKind::UpstreamLost};
    return ForwardDecision{ForwardStep::Refuse, ErrorKind::RequestQuarantined};
}

/// Chooses an upstream and sends once. Nothing: send again; else what ends the call.
asio::awaitable<std::optional<ForwardDecision>> ForwardCall::sendOnce()
{
    if (const auto decision = quarantined())
        co_return decision;
    GatewayState &state = m_shared.state;
    const PlacedChoice placed = co_await choose();
    const std::optional<Choice> &choice = placed.choice;
    if (placed.comeBack) {
        m_comeBack = placed.comeBack;
        m_lastReason = "the engines are too far behind";
        co_return ForwardDecision{ForwardStep::Refuse, ErrorKind::PredictedLate};
    }
    if (!choice) {
        m_lastReason = "no upstream of the service takes work";
        const ErrorKind kind = m_mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::NoUpstream;
        const ForwardStep step = m_mayHaveRun ? ForwardStep::Fail : ForwardStep::Refuse;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Cut : step, kind};
    }
    const UpstreamEntry entry = *state.directory().find(choice->upstream);
    m_tried.insert(entry.id);
    m_lastUpstream = entry.id;
    m_lastCost = choice->cost;
    m_unread = choice->unreadTokens;
    m_toRead = choice->unreadTokens;
    m_ahead = choice->aheadTokens;
    m_sentAt = RuntimeClock::now();
    m_isAwaited = true;
    m_isBrief = choice->isBrief;
    m_fetchFrom.reset();
    if (choice->fetchFrom)
        m_fetchFrom = state.directory().find(*choice->fetchFrom)->address;
    state.book().sent(entry.id, makeAsk(), *choice, RuntimeClock::now());
    const SendEnd end = co_await exchange(entry);
    noteEnd(entry, end);
    if (end == SendEnd::Lost && m_stop == Stop::None)
        noteLost(entry);
    if (m_stop != Stop::None && end != SendEnd::Complete) {
        const bool notRun = end == SendEnd::NotConnected && !m_mayHaveRun;
        const ForwardStep step = notRun ? ForwardStep::Refuse : ForwardStep::Fail;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Cut : step, kindOfStop()};
    }
    const ForwardDecision decision = afterSend(end, stateNow(end));
    if (decision.step != ForwardStep::SendAgain)
        co_return decision;
    m_shared.counters.retried(decision.kind);
    LogLine(LogLevel::Info, "send-again")
        .with("attempt", m_facts.attemptId)
        .with("after", toString(end))
        .with("upstream", entry.id.text)
        .with("reason", m_lastReason)
        .with("sends", m_sends)
        .with("ms_left", static_cast<std::int64_t>(toMillis(timeLeft())));
    co_return std::nullopt;
}

ForwardState ForwardCall::stateNow(SendEnd end)
{
    GatewayState &state = m_shared.state;
    ForwardState now;
    now.kind = m_route->kind;
    now.resumable = m_route->resumable;
    now.headDelivered = m_headDelivered;
    now.sends = m_sends;
    now.maxAttempts = m_route->maxAttempts;
    now.misses = m_misses;
    now.absences = m_absences;
    const Duration needed = std::max<Duration>(
        milliseconds(m_route->targetLatencyMs) / targetPartForSend, leastTimeForSend);
    now.timeLeft = timeLeft() > needed;
    now.mayHaveRun = m_mayHaveRun;
    now.othersLeft = UpstreamBook::hasOther(makeAsk(), state.directory());
    now.retryLeft = true;
    if (end == SendEnd::NotConnected)
        return now;
    // Whether the budget has one more is asked only where it alone decides.
    const bool wanted = afterSend(end, now).step == ForwardStep::SendAgain;
    now.retryLeft = wanted && state.retries().take(m_service, RuntimeClock::now());
    if (end != SendEnd::RefusedNotRun)
        m_mayHaveRun = true;
    return now;
}

asio::awaitable<UpstreamChannelPtr> ForwardCall::openChannel(const UpstreamEntry &entry)
{
    if (UpstreamChannelPtr idle = m_shared.pool.takeIdle(entry.id))
        co_return idle;
    const Time began = RuntimeClock::now();
    const Duration limit = std::min<Duration>(connectLimit, timeLeft());
    ConnectFailure failure;
    UpstreamChannelPtr channel = co_await m_shared.pool.connect(entry, limit, &failure);
    m_nobodyListened = failure.nobodyListens;
    if (!channel)
        m_lastReason = failure.reason;
    else
        m_shared.latencies.note(Timed::Connect, RuntimeClock::now() - began);
    co_return channel;
}

asio::awaitable<SendEnd> ForwardCall::exchange(const UpstreamEntry &entry)
{
    m_exchange.reset();
    m_channel = co_await openChannel(entry);
    if (!m_channel || m_stop != Stop::None) {
        ++(m_nobodyListened ? m_absences : m_misses);
        co_return SendEnd::NotConnected;
    }
    if (m_sends == 0)
        m_shared.state.retries().first(m_service, RuntimeClock::now());
    ++m_sends;
    m_shared.counters.add(Count::Dispatched);
    m_exchange.emplace(m_channel, m_shared.dialect);
    const UpstreamCall call = makeCall(entry);
    bool good = co_await m_exchange->write(call);
    if (good)
        good = co_await m_exchange->readHead();
    if (!good)
        co_return brokenEnd();
    co_return co_await takeAnswer();
}

UpstreamCall ForwardCall::makeCall(const UpstreamEntry &entry) const
{
    UpstreamCall call;
    call.method = m_request.method();
    const auto method = m_request.method_string();
    call.methodText.assign(method.data(), method.size());
    const auto target = m_request.target();
    call.target.assign(target.data(), target.size());
    call.body = m_request.body();
    call.attemptId = m_facts.attemptId;
    SendFacts facts;
    facts.upstream = entry.id;
    facts.patience = timeLeft();
    if (m_account != nullptr)
        facts.account = m_account->name;
    facts.urgency = m_table->urgencyOf(*m_route, m_account);
    facts.resumeAfter = m_events.lastId();
    facts.fetchFrom = m_fetchFrom;
    m_shared.dialect.writeSend(m_request, facts, &call.fields);
    return call;
}

void ForwardCall::noteEnd(const UpstreamEntry &entry, SendEnd end)
{
    UpstreamBook &book = m_shared.state.book();
    book.ended(entry.id, std::exchange(m_unread, 0), m_isBrief);
    if (m_exchange && m_lastReason.empty())
        m_lastReason = m_exchange->reason();
    const bool ownStop = m_stop != Stop::None;
    if (end == SendEnd::Complete && m_shared.cleared && mayBeSuspect()
        && m_shared.state.crashes().isSuspect(digest()))
        m_shared.cleared(digest());
    if (end == SendEnd::Complete && !m_facts.prompt.empty())
        book.noteHeld(m_service, RuntimeClock::now() - m_sentAt);
    if (end == SendEnd::Complete || end == SendEnd::OwnFailure)
        book.succeeded(entry.id);
    else if (std::exchange(m_nobodyListened, false))
        book.absent(entry.id, RuntimeClock::now());
    else if (end != SendEnd::RefusedNotRun && !ownStop)
        book.failed(entry.id, RuntimeClock::now());
    else if (end == SendEnd::RefusedNotRun && m_exchange->facts().isOtherLife)
        book.replaced(entry.id);
    if (!m_channel)
        return;
    if (m_exchange && m_exchange->isReusable() && !ownStop) {
        if (const auto limit = m_exchange->keepAlive())
            m_channel->idleLimit = *limit;
        m_shared.pool.giveBack(entry.id, m_channel);
    } else {
        m_channel->close();
    }
    m_channel.reset();
}

/// An upstream was lost under the call. The line names the content of the call, so that one that
/// comes again and again is seen as one.
void ForwardCall::noteLost(const UpstreamEntry &entry)
{
    LogLine(LogLevel::Info, "upstream-lost-under-call")
        .with("attempt", m_facts.attemptId)
        .with("request", toString(digest()))
        .with("upstream", entry.id.text)
        .with("born", entry.id.born)
        .with("events", m_events.events())
        .with("ahead", m_ahead)
        .with("running", m_shared.state.book().loadOf(entry.id, RuntimeClock::now()).running)
        .with("ms", static_cast<std::int64_t>(toMillis(RuntimeClock::now() - m_sentAt)));
    if (m_shared.crashes != nullptr)
        m_shared.crashes->lost(entry, digest());
}

asio::awaitable<bool> ForwardCall::finish(ForwardDecision decision)
{
    switch (decision.step) {
    case ForwardStep::Deliver:
        co_return co_await deliverWhole();
    case ForwardStep::Cut:
        report("cut", decision.kind, m_exchange ? m_exchange->status() : 0);
        m_caller.abort();
        co_return false;
    case ForwardStep::Refuse:
    case ForwardStep::Fail:
    case ForwardStep::SendAgain:
        break;
    }
    const Error error{decision.kind, m_lastReason};
    co_return co_await refuse(error);
}

asio::awaitable<bool> ForwardCall::deliverWhole()
{
    const bool keepAlive =
        m_request.version() >= 11 && m_request.keep_alive() && !m_shared.stopping;
    bool sent = false;
    if (m_headDelivered) {
        if (m_bodyWhole)
            sent = co_await m_caller.sendEnd();
    } else {
        WholeAnswer answer;
        answer.version(11);
        copyEndToEnd(m_exchange->head(), &answer.base());
        answer.result(m_exchange->status());
        answer.keep_alive(keepAlive);
        answer.body() = std::move(m_wholeBody);
        if (m_request.method() == http::verb::head)
            answer.content_length(boost::none);
        else
            answer.prepare_payload();
        sent = co_await m_caller.send(std::move(answer));
    }
    m_shared.counters.add(Count::RequestsCompleted);
    m_shared.latencies.note(Timed::Whole, RuntimeClock::now() - m_arrived);
    report(sent ? "delivered" : "caller-lost", ErrorKind::None, m_exchange->status());
    co_return sent &&keepAlive;
}

asio::awaitable<bool> ForwardCall::refuse(const Error &error)
{
    m_shared.counters.refused(error.kind);
    if (m_lastReason.empty())
        m_lastReason = error.reason;
    if (m_caller.isGone()) {
        report("caller-gone", error.kind, 0);
        co_return false;
    }
    const bool keepAlive =
        m_request.version() >= 11 && m_request.keep_alive() && !m_shared.stopping;
    std::optional<Duration> patience;
    if (m_facts.patience)
        patience = *m_facts.patience - (RuntimeClock::now() - m_arrived);
    const auto comeBack = m_comeBack ? m_comeBack : comeBackAfter(error.kind, patience);
    WholeAnswer answer = makeRefusal(error, comeBack, keepAlive);
    report("refused", error.kind, answer.result_int());
    const bool sent = co_await m_caller.send(std::move(answer));
    co_return sent &&keepAlive;
}

/// How long ago the gateway's state was known to be current; -1: never.
std::int64_t ForwardCall::stateAgeMs() const
{
    const std::optional<Time> at = m_shared.state.currentAt();
    return at ? static_cast<std::int64_t>(toMillis(RuntimeClock::now() - *at)) : -1;
}

void ForwardCall::report(std::string_view outcome, ErrorKind kind, unsigned status)
{
    const Time now = RuntimeClock::now();
    LogLine(LogLevel::Info, "request-ended")
        .with("attempt", m_facts.attemptId)
        .with("outcome", outcome)
        .with("kind", errorRow(kind).name)
        .with("status", status)
        .with("route", m_route != nullptr ? m_route->name : "-")
        .with("account", m_account != nullptr ? m_account->name.text : "-")
        .with("config", m_table ? m_table->version() : 0)
        .with("registry", m_shared.state.directory().revision())
        .with("state_age_ms", stateAgeMs())
        .with("upstream", m_lastUpstream.text)
        .with("cost", static_cast<std::int64_t>(m_lastCost))
        .with("placed_by", m_placedBy.text)
        .with("placing_ms", static_cast<std::int64_t>(toMillis(m_placing)))
        .with("fetch_from", m_fetchFrom ? m_fetchFrom->text() : "-")
        .with("sends", m_sends)
        .with("misses", m_misses)
        .with("absences", m_absences)
        .with("prompt", m_facts.promptTokens)
        .with("to_read", m_toRead)
        .with("ahead", m_ahead)
        .with("come_back_ms", m_comeBack ? static_cast<std::int64_t>(toMillis(*m_comeBack)) : -1)
        .with("events", m_events.events())
        .with("longest_pause_ms", static_cast<std::int64_t>(toMillis(m_longestPause)))
        .with("unread_then", m_unreadAtPause)
        .with("missed", missedBound())
        .with("first_ms",
              m_firstByte ? static_cast<std::int64_t>(toMillis(*m_firstByte - m_arrived)) : -1)
        .with("ms", static_cast<std::int64_t>(toMillis(now - m_arrived)))
        .with("ms_left", static_cast<std::int64_t>(toMillis(m_limit - now)))
        .with("reason", m_lastReason);
}

} // namespace reachlead

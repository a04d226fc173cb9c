// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "forwardcall.h"

#include <algorithm>

#include <reachlead/log.h>

#include "refusal.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A caller that names no patience of its own.
constexpr Duration defaultPatience = seconds(60);

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

ForwardCall::ForwardCall(ForwardContext &shared, CallerStream &caller, CallerHttpRequest request)
    : m_shared(shared), m_calls(shared.activeCalls), m_caller(caller),
      m_request(std::move(request)), m_metadata(shared.headerCodec.readCall(m_request)),
      m_table(shared.state.table()), m_arrived(RuntimeClock::now()),
      m_limit(m_arrived + defaultPatience), m_timer(shared.io)
{
    m_shared.counters.add(Counter::RequestsAccepted);
    m_shared.counters.adjust(Gauge::OpenRequests, 1);
    m_calls->insert(this);
}

ForwardCall::~ForwardCall()
{
    m_calls->erase(this);
    m_caller.clearOnDisconnected();
    m_shared.counters.adjust(Gauge::OpenRequests, -1);
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
        m_account = m_table->accountForKey(m_metadata.apiKey);
        if (m_account == nullptr)
            return Error{ErrorKind::KeyUnknown, "no account holds the key"};
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    const ServiceName *service = pickService(*m_route, draw(m_shared.random));
    if (service == nullptr)
        return Error{ErrorKind::NoUpstream, "the route names no service"};
    m_service = *service;
    static const std::vector<RegionName> anyRegion;
    m_zones = allowedZones(m_shared.state.regions(), m_route->regions,
                           m_account != nullptr ? m_account->regions : anyRegion);
    return std::nullopt;
}

void ForwardCall::setLimit()
{
    Duration patience = m_metadata.timeout.value_or(defaultPatience);
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
    m_caller.onDisconnected([stopIfAlive] { stopIfAlive(Stop::CallerDisconnected); });
    if (m_caller.isDisconnected())
        stop(Stop::CallerDisconnected);
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
        m_digest = computeDigest(content());
    return *m_digest;
}

/// Whether upstreams may have ended under this request, here or at gateways that told of it.
bool ForwardCall::mayBeSuspect() const
{
    const CrashTracker &crashes = m_shared.state.crashes();
    return !crashes.isEmpty() && crashes.mayContain(computeFastHash(content()));
}

ErrorKind ForwardCall::kindOfStop() const
{
    if (m_stop == Stop::CallerDisconnected)
        return ErrorKind::CallerDisconnected;
    if (m_stop == Stop::ProcessEnds)
        return m_sends > 0 ? ErrorKind::OutcomeUnknown : ErrorKind::RouterStopping;
    return m_sends > 0 ? ErrorKind::DeadlineRunning : ErrorKind::DeadlineQueued;
}

asio::awaitable<bool> ForwardCall::finish(ForwardDecision decision)
{
    switch (decision.step) {
    case ForwardStep::Deliver:
        co_return co_await deliverWhole();
    case ForwardStep::Abort:
        report("cut", decision.kind, m_exchange ? m_exchange->status() : 0);
        m_caller.abort();
        co_return false;
    case ForwardStep::Refuse:
    case ForwardStep::Fail:
    case ForwardStep::Retry:
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
            sent = co_await m_caller.finishAnswer();
    } else {
        FullAnswer answer;
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
    m_shared.counters.add(Counter::RequestsCompleted);
    m_shared.latencies.recordLatency(LatencyKind::Whole, RuntimeClock::now() - m_arrived);
    report(sent ? "delivered" : "caller-lost", ErrorKind::None, m_exchange->status());
    co_return sent &&keepAlive;
}

asio::awaitable<bool> ForwardCall::refuse(const Error &error)
{
    m_shared.counters.refused(error.kind);
    if (m_lastReason.empty())
        m_lastReason = error.reason;
    if (m_caller.isDisconnected()) {
        report("caller-gone", error.kind, 0);
        co_return false;
    }
    const bool keepAlive =
        m_request.version() >= 11 && m_request.keep_alive() && !m_shared.stopping;
    std::optional<Duration> patience;
    if (m_metadata.timeout)
        patience = *m_metadata.timeout - (RuntimeClock::now() - m_arrived);
    const auto comeBack = m_comeBack ? m_comeBack : computeRetryAfter(error.kind, patience);
    FullAnswer answer = makeRefusal(error, comeBack, keepAlive);
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
        .with("attempt", m_metadata.attemptId)
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
        .with("misses", m_connectFailures)
        .with("absences", m_connectRefusals)
        .with("prompt", m_metadata.promptTokens)
        .with("to_read", m_toRead)
        .with("ahead", m_ahead)
        .with("come_back_ms", m_comeBack ? static_cast<std::int64_t>(toMillis(*m_comeBack)) : -1)
        .with("events", m_events.eventCount())
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

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of ForwardCall that keeps a stream at the software version that began it.

#include "forwardcall.h"

#include <algorithm>

#include <fmt/format.h>

#include <reachlead/log.h>

namespace reachlead {

namespace asio = boost::asio;

/// True if the caller continues a stream that an earlier attempt began.
bool ForwardCall::isResumption() const
{
    const bool isResumable = m_route->kind == RouteKind::Stream && m_route->resumable;
    return isResumable && (m_metadata.isResumption || !m_metadata.resumedAttempt.empty());
}

StreamKey ForwardCall::streamKey(std::string_view attemptId) const
{
    return computeStreamKey(m_account != nullptr ? m_account->name : AccountName(), attemptId);
}

/// Finds out which version began a resumed stream. Returns an error if that is not known.
asio::awaitable<std::optional<Error>> ForwardCall::bindResumedStream()
{
    if (!isResumption())
        co_return std::nullopt;
    m_context.counters.add(Counter::StreamsResumed);
    const StreamLookup found = co_await findBinding();
    logResumption(found);
    m_binding = found.binding;
    if (m_stop != Stop::None)
        co_return Error{stopKind(true), "stopped while the stream was looked up"};
    if (!m_binding) {
        m_context.counters.add(Counter::StreamsUnknown);
        co_return Error{ErrorKind::StreamVersionUnknown,
                        "the version is not known, and the service may have had several"};
    }
    const bool isServed = std::ranges::any_of(m_route->services, [this](const ServiceShare &share) {
        return share.service == m_binding->service;
    });
    if (isServed)
        m_service = m_binding->service;
    // The caller may return once more, when those that knew it are gone.
    if (!m_metadata.resumedAttempt.empty())
        shareBinding(m_metadata.resumedAttempt, *m_binding);
    co_return std::nullopt;
}

/// The binding of the resumed stream: the recorded one, or that of the only version which can have
/// begun it, without a source.
asio::awaitable<StreamLookup> ForwardCall::findBinding()
{
    StreamLookup found = co_await lookUpStream();
    if (found.binding || isFinal(found) || !co_await waitForVerifiedState())
        co_return found;
    // Gateways that were out of reach may answer by now, and bindings of a second version are
    // stored.
    std::set<SoftwareVersion> versions = std::move(found.versions);
    found = co_await lookUpStream();
    versions.merge(found.versions);
    if (!found.binding)
        found.binding = co_await onlyRecentVersion(std::move(versions));
    co_return found;
}

/// True if nothing more can be learned of a stream that was not found: all gateways have answered,
/// and the service is known to have had several versions.
bool ForwardCall::isFinal(const StreamLookup &found) const
{
    std::set<SoftwareVersion> versions = m_context.state.directory().recentVersions(m_service);
    versions.insert(found.versions.begin(), found.versions.end());
    return found.unansweredCount == 0 && versions.size() > 1;
}

void ForwardCall::logResumption(const StreamLookup &found) const
{
    std::string_view knownBy = found.source.text;
    if (!found.binding)
        knownBy = "-";
    else if (knownBy.empty())
        knownBy = "only-version";
    LogLine(LogLevel::Info, "stream-resumed")
        .with("attempt", m_metadata.attemptId)
        .with("resumes", m_metadata.resumedAttempt)
        .with("resume_after",
              m_metadata.resumeAfter ? fmt::format("{}", *m_metadata.resumeAfter) : "-")
        .with("service", found.binding ? found.binding->service.text : "-")
        .with("version", found.binding ? found.binding->version.text : "-")
        .with("known_by", knownBy)
        .with("age_ms",
              found.source.text.empty() ? -1 : static_cast<std::int64_t>(toMillis(found.age)))
        .with("unanswered", found.unansweredCount)
        .with("state_age_ms", stateAgeMs());
}

asio::awaitable<StreamLookup> ForwardCall::lookUpStream()
{
    if (m_metadata.resumedAttempt.empty())
        co_return StreamLookup{};
    const StreamKey stream = streamKey(m_metadata.resumedAttempt);
    if (m_context.streams != nullptr)
        co_return co_await m_context.streams->find(stream, m_service);
    StreamLookup found;
    const Time now = RuntimeClock::now();
    if (const auto *known = m_context.state.streams().find(stream, now)) {
        found.binding = known->binding;
        found.age = now - known->recordedAt;
        found.source = m_context.state.vm();
    }
    co_return found;
}

/// The version that must have begun a stream that no gateway knows: the only one of the route's
/// service in the time that callers have for resuming. None if a version may have been missed,
/// for instance as this gateway has just started. \p versions were reported by other gateways;
/// those that did not answer may know more.
asio::awaitable<std::optional<StreamBinding>>
ForwardCall::onlyRecentVersion(std::set<SoftwareVersion> versions)
{
    // The route may have changed since this call arrived, or between the stream and this call.
    const std::set<ServiceName> services = m_context.state.recentServices(m_route->name);
    for (const ServiceName &service : services) {
        std::optional<std::set<SoftwareVersion>> recent = co_await recentVersions(service);
        if (!recent)
            co_return std::nullopt;
        versions.merge(*recent);
    }
    if (versions.size() != 1)
        co_return std::nullopt;
    co_return StreamBinding{m_service, *versions.begin(), 0};
}

/// Waits until all versions are known here that can have begun the stream, which was before this
/// call arrived. Returns false if this gateway is out of touch, or the call was stopped.
asio::awaitable<bool> ForwardCall::waitForVerifiedState()
{
    GatewayState &state = m_context.state;
    const VerificationWaiters::Registration waiter(state.verificationWaiters(), m_arrivedAt,
                                                   m_wakeUp);
    const Time until = std::min(m_deadline, m_arrivedAt + state.staleLimit());
    while (!state.wasCurrentAt(m_arrivedAt) && m_stop == Stop::None && RuntimeClock::now() < until)
        co_await m_wakeUp.waitUntil(until);
    co_return state.wasCurrentAt(m_arrivedAt);
}

asio::awaitable<std::optional<std::set<SoftwareVersion>>>
ForwardCall::recentVersions(ServiceName service)
{
    if (m_context.streams != nullptr)
        co_return co_await m_context.streams->recentVersions(service, m_arrivedAt);
    const UpstreamDirectory &directory = m_context.state.directory();
    const bool isKnown = m_context.state.wasCurrentAt(m_arrivedAt)
        && directory.knowsRecentVersions(RuntimeClock::now());
    if (!isKnown)
        co_return std::nullopt;
    co_return directory.recentVersions(service);
}

/// Returns false if the upstream is known to have another version by now than when it was selected
/// for a stream that must stay at its version.
bool ForwardCall::checkVersion(const UpstreamEntry &entry)
{
    const UpstreamEntry *current = m_context.state.directory().find(entry.id);
    if (current != nullptr)
        m_attempt->version = current->softwareVersion;
    return !m_binding || m_binding->version == m_attempt->version;
}

/// Shares the version that is about to run a stream, early enough that it is known elsewhere before
/// the first event.
void ForwardCall::recordStream()
{
    const bool isResumable = m_route->kind == RouteKind::Stream && m_route->resumable;
    if (!isResumable || m_metadata.attemptId.empty() || m_sharedVersion == m_attempt->version)
        return;
    m_wasMoved = m_sharedVersion.has_value();
    m_sharedVersion = m_attempt->version;
    shareBinding(m_metadata.attemptId, {m_service, m_attempt->version, m_sends});
}

void ForwardCall::shareBinding(std::string_view attemptId, const StreamBinding &binding)
{
    const StreamKey stream = streamKey(attemptId);
    const Duration retention = timeUntilCallerGivesUp() + StreamBindings::retentionSlack;
    if (m_context.streams != nullptr)
        m_context.streams->record(stream, binding, retention);
    else
        m_context.state.streams().record(stream, binding, retention, RuntimeClock::now());
}

/// Called before events are passed on: the first ones decide the version of the stream.
void ForwardCall::bindToVersion()
{
    if (m_binding)
        return;
    m_binding = StreamBinding{m_service, m_attempt->version, m_sends};
    // A gateway that missed the datagram of a move would report the version of the earlier send.
    if (m_wasMoved)
        shareBinding(m_metadata.attemptId, *m_binding);
}

/// The caller's own timeout may exceed the route's, and it may return until then.
Duration ForwardCall::timeUntilCallerGivesUp() const
{
    const Duration left =
        m_metadata.timeout ? *m_metadata.timeout - (RuntimeClock::now() - m_arrivedAt) : timeLeft();
    return std::clamp<Duration>(left, Duration{}, StreamBindings::maxRetention);
}

} // namespace reachlead

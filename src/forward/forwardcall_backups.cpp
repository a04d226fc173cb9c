// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of ForwardCall that has runs backed up at other engines and lets those go on with them.

#include "forwardcall.h"

#include <reachlead/log.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;

} // namespace

/// The engines of the service that may be sent a copy of the run.
std::vector<BackupCandidate> ForwardCall::backupCandidates()
{
    GatewayState &state = m_context.state;
    UpstreamTable &table = state.upstreams();
    const SelectionQuery query = makeSelectionQuery();
    const Time now = RuntimeClock::now();
    std::vector<BackupCandidate> candidates;
    for (const UpstreamEntry *entry : state.directory().usableUpstreams(m_service)) {
        if (!UpstreamTable::isEligible(query, *entry)
            || table.backoffs().isBackedOff(entry->id, now))
            continue;
        candidates.push_back({entry, table.isHealthy(entry->id, now),
                              table.load(entry->id, now).running,
                              m_context.backups.reserved(entry->id)});
    }
    return candidates;
}

/// Selects the engine that is sent a copy of the run on \p entry as it grows, if any.
void ForwardCall::chooseBackup(const UpstreamEntry &entry)
{
    const ServiceInfo *service = m_table->service(m_service);
    if (service == nullptr || !service->engineBacksUpRuns || m_route->kind != RouteKind::Stream
        || m_metadata.attemptId.empty())
        return;
    RunOutlook run;
    run.isResumable = m_route->resumable;
    run.isAtRisk = m_attempt->continueFrom
        || !m_context.state.upstreams().isHealthy(entry.id, m_attempt->sentAt);
    run.promptTokens = m_metadata.promptTokens;
    run.outputTokens = m_metadata.estimatedOutputTokens.value_or(m_metadata.maxOutputTokens);
    if (!isBackupWorthwhile(m_context.backupSettings, run))
        return;
    const BackupBounds bounds{service->engineCacheTokens, m_context.state.liveGateways()};
    const auto engine = chooseBackupEngine(m_context.backupSettings, bounds, entry, run.tokens(),
                                           backupCandidates());
    if (!engine)
        return;
    m_attempt->backup.emplace(m_context.backups, *engine, run.tokens());
    m_context.counters.add(Counter::RunsBackedUp);
}

/// The engine that holds a copy of the run of the last attempt; null if there is none, or if it may
/// not go on with the run.
const UpstreamEntry *ForwardCall::copyHolder() const
{
    if (!m_attempt->backup)
        return nullptr;
    GatewayState &state = m_context.state;
    const UpstreamEntry *entry = state.directory().find(m_attempt->backup->engine());
    const Time now = RuntimeClock::now();
    const bool goesOn = entry != nullptr && state.directory().takesWork(*entry)
        && entry->softwareVersion == m_attempt->version
        && state.upstreams().isHealthy(entry->id, now)
        && !state.upstreams().backoffs().isBackedOff(entry->id, now);
    return goesOn ? entry : nullptr;
}

/// Sends the call to the engine that holds a copy of the run, to go on after the last event
/// delivered. The connection to the engine before is closed by now, which ends the run there.
asio::awaitable<std::optional<ForwardDecision>> ForwardCall::continueRun()
{
    const UpstreamEntry *holder = copyHolder();
    if (holder == nullptr)
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Abort : ForwardStep::Fail,
                                  ErrorKind::UpstreamLost};
    const UpstreamEntry entry = *holder;
    LogLine(LogLevel::Info, "run-continued")
        .with("attempt", m_metadata.attemptId)
        .with("from", m_attempt->upstream.text)
        .with("at", entry.id.text)
        .with("version", entry.softwareVersion.text)
        .with("events", m_events.eventCount());
    Selection selection;
    selection.upstream = entry.id;
    selection.isShortPrompt = m_attempt->isShortPrompt;
    beginSend(entry, selection, m_context.state.vm());
    m_attempt->continueFrom = RunCopy{entry.address, m_metadata.attemptId};
    chooseBackup(entry);
    co_return co_await sendTo(entry);
}

/// Counts the result of a send that went on from a copy.
void ForwardCall::recordContinuation(SendResult result)
{
    if (!m_attempt->continueFrom)
        return;
    const bool isRefused =
        result == SendResult::RefusedNotRun || result == SendResult::NotConnected;
    m_context.counters.add(isRefused ? Counter::ContinuationsRefused : Counter::RunsContinued);
    if (isRefused)
        m_attempt->reason = "the engine with the copy of the run did not go on with it";
    if (isRefused)
        m_attempt->backup.reset(); // no run that feeds it
}

} // namespace reachlead

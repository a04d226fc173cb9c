// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway tells the schedulers of upstreams about the calls it has sent to them.

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <reachlead/completion.h>
#include <reachlead/log.h>

#include "peer/placementlink.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

GroupLoad PlacementLink::makeReport(const GroupName &group, const LoadByUpstream &load,
                                    const VmName &scheduler)
{
    GroupLoad report;
    report.from = m_state.vm();
    report.incarnation = m_peers.incarnation();
    report.sequence = m_peers.nextSequence();
    report.group = group;
    report.oldestPendingQuery = m_queries.oldestPendingQuery();
    report.load = compactLoad(load);
    report.rateSample = m_state.upstreams().takeRateSample(group.service);
    report.workSamples = workSamplesToReport(group, scheduler);
    const Time now = RuntimeClock::now();
    report.limits =
        m_peers.limitsToReport(now, &m_state.groups().groupMembers(group, m_state.directory()));
    report.leaving = m_peers.leavingToReport(now, &group.service);
    const auto grant = m_lastGrants.find(group);
    if (grant != m_lastGrants.end() && grant->second.first == schedulerFor(group))
        report.lastGrant = grant->second.second;
    report.holds = m_refusals.toReport(group.service, RefusalOrder::Source::Own, now);
    m_lastReports[group] = {load, RuntimeClock::now()};
    return report;
}

/// Observations for a group's scheduler. One that has just taken over is told what it did not see:
/// all that this gateway still remembers.
std::vector<CompactWorkSample> PlacementLink::workSamplesToReport(const GroupName &group,
                                                                  const VmName &scheduler)
{
    UpstreamSpeeds &speeds = m_state.upstreams().speeds();
    if (!speeds.isEnabled())
        return {};
    const std::set<UpstreamId> &members = m_state.groups().groupMembers(group, m_state.directory());
    if (std::exchange(m_speedReceivers[group], scheduler) != scheduler)
        speeds.reportAgain(members, RuntimeClock::now());
    return compactWorkSamples(speeds.takeUnreported(members, maxReportedSpeeds));
}

/// Logs upstreams that became slow, and those that recovered.
void PlacementLink::logSpeedChanges()
{
    UpstreamSpeeds &speeds = m_state.upstreams().speeds();
    if (!speeds.isEnabled())
        return;
    for (const UpstreamSpeeds::Change &it : speeds.takeChanges(RuntimeClock::now())) {
        if (it.isSlow)
            count(Counter::UpstreamsSlow);
        LogLine(LogLevel::Info, it.isSlow ? "upstream-slow" : "upstream-recovered")
            .with("upstream", it.upstream.text)
            .with("service", it.service.text)
            .with("speed", it.speed)
            .with("per_ms", it.workPerMs)
            .with("median", it.workPerMs / it.speed);
    }
    if (m_options.counters != nullptr)
        m_options.counters->set(Gauge::SlowUpstreams,
                                static_cast<std::int64_t>(speeds.slowCount()));
}

PlacementLink::LoadByGroup PlacementLink::ownLoads()
{
    LoadByGroup loads;
    for (const auto &[id, load] : m_state.upstreams().ownLoad()) {
        if (const auto group = m_state.groups().findGroup(id, m_state.directory()))
            loads[*group].emplace(id, load);
    }
    return loads;
}

asio::awaitable<void> PlacementLink::reportLoop()
{
    Timer timer(m_io);
    while (!m_peers.isStopped()) {
        error_code ec;
        timer.expires_after(nextReportDelay());
        co_await timer.async_wait(storeError(&ec));
        sendReports();
        logSpeedChanges();
    }
}

void PlacementLink::sendReports()
{
    LoadByGroup loads = ownLoads();
    for (const GroupName &group : m_lastReports | std::views::keys)
        loads.try_emplace(group); // also reports loads that have dropped to zero
    const Time now = RuntimeClock::now();
    std::erase_if(m_busyUntil, [&](const auto &it) { return it.second <= now; });
    const bool isRegular = m_regularReportAt <= now;
    if (isRegular)
        m_regularReportAt = now + m_options.reportInterval;
    for (const auto &[group, load] : loads) {
        if (!isRegular && !m_busyUntil.contains(group))
            continue;
        const LastReport &last = m_lastReports[group];
        const bool isRefreshDue = !load.empty() && last.at + refreshInterval <= now;
        if (last.load == load && !isRefreshDue)
            continue;
        const VmName scheduler = schedulerFor(group);
        const GroupLoad report = makeReport(group, load, scheduler);
        if (scheduler == m_state.vm())
            continue;
        sendTo(scheduler, PeerMessageKind::GroupLoad, encodeGroupLoad(report));
    }
    std::erase_if(m_lastReports, [](const auto &it) { return it.second.load.empty(); });
}

void PlacementLink::applyReport(const GroupLoad &report)
{
    if (!m_peers.acceptSequence(report.from, report.incarnation, report.sequence))
        return;
    const std::set<UpstreamId> &group =
        m_state.groups().groupMembers(report.group, m_state.directory());
    m_state.upstreams().setPeerLoad(
        report.from, {expandLoad(report.load, m_state.directory()), report.oldestPendingQuery},
        group, RuntimeClock::now());
    if (report.holds)
        m_refusals.learn(report.group.service, *report.holds, RefusalOrder::Source::Report,
                         RuntimeClock::now());
    if (report.lastGrant)
        m_state.upstreams().dropPendingGrants(report.from, group, *report.lastGrant);
    const auto samples = expandWorkSamples(report.workSamples, m_state.directory());
    for (const auto &[id, sample] : samples)
        m_state.upstreams().speeds().addReported(report.group.service, id, sample,
                                                 RuntimeClock::now());
    if (!report.rateSample.empty())
        m_state.upstreams().addRateSample(report.group.service, report.rateSample);
    m_state.learnLimits(expandLimits(report.limits, m_state.directory()), report.from);
    m_state.learnLeaving(report.leaving, report.from);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/placementlink.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/completion.h>
#include <reachlead/log.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Minimum interval between updates of the known gateways.
constexpr Duration minSchedulerReadInterval = milliseconds(250);

} // namespace

PlacementLink::PlacementLink(asio::io_context &io, const Options &options, GatewayState &state,
                             GatewayPeers &peers)
    : m_io(io), m_options(options), m_state(state), m_peers(peers), m_queries(state.vm()),
      m_queue(
          io, options.queue, state, options.counters,
          [this](const QueuedCall &call, const QueueOutcome &outcome) {
              queueEnded(call, outcome);
          },
          [this](const GroupName &group) { return ownsGroupLimits(group); })
{
    m_peers.onDatagram({PeerMessageKind::PlacementQuery, PeerMessageKind::PlacementReply,
                        PeerMessageKind::GroupLoad, PeerMessageKind::WaitingCallNote},
                       [this](PeerMessageKind kind, std::string_view message,
                              const UdpEndpoint &from) { handleDatagram(kind, message, from); });
    m_peers.setOldestPendingQuery([this] { return m_queries.oldestPendingQuery(); });
    if (m_options.isEnabled)
        asio::co_spawn(io, reportLoop(), asio::detached);
}

void PlacementLink::count(Counter c)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(c);
}

/// Updates the known gateways, unless that was done less than minSchedulerReadInterval ago.
void PlacementLink::refreshFleet()
{
    const Time now = RuntimeClock::now();
    if (m_fleetReadAt && now < *m_fleetReadAt + minSchedulerReadInterval)
        return;
    m_fleetReadAt = now;
    m_fleet = m_peers.fleet();
    m_names.clear();
    std::map<VmName, MilliCores> cores;
    for (const auto &[vm, entry] : m_fleet) {
        m_names.insert(vm);
        cores.emplace(vm, entry.cores);
    }
    m_strong = strongGateways(cores);
    m_limitOwners = m_strong;
    if (now < m_startedAt + GatewayPeers::peerTimeout)
        return; // a gateway without a heartbeat so far may be live
    const std::set<VmName> live = m_peers.livePeers();
    std::erase_if(m_limitOwners,
                  [&](const VmName &vm) { return vm != m_state.vm() && !live.contains(vm); });
    if (!m_limitOwners.empty())
        return;
    m_limitOwners = live;
    m_limitOwners.insert(m_state.vm());
}

VmName PlacementLink::schedulerFor(const GroupName &group)
{
    refreshFleet();
    return m_queries.schedulerFor(group, m_strong, m_names, RuntimeClock::now());
}

/// Sends to a gateway if it is still known; otherwise the datagram counts as lost.
void PlacementLink::sendTo(const VmName &vm, PeerMessageKind kind, const std::string &payload)
{
    const auto it = m_fleet.find(vm);
    if (it != m_fleet.end())
        m_peers.sendTo(it->second.address, kind, payload);
}

/// Returns true at the first live gateway in rendezvous order, even if it does not reply at
/// present. If two gateways replaced an unresponsive one, each with most of a limit, an upstream
/// would get nearly twice its limit.
bool PlacementLink::ownsGroupLimits(const GroupName &group)
{
    refreshFleet();
    return electScheduler(group, m_limitOwners) == m_state.vm();
}

/// Returns the group whose scheduler places a call; none if this gateway selects on its own. Unless
/// configured otherwise, calls without a prompt have one only while an upstream of their service is
/// limited, as a limit is managed by a single gateway.
std::optional<GroupName> PlacementLink::schedulingGroup(const SelectionQuery &query)
{
    const UpstreamDirectory &directory = m_state.directory();
    if (!m_options.isEnabled)
        return std::nullopt;
    if (!query.prompt.empty())
        return m_state.groups().findGroup(query.service, keyParts(query.model, query.prompt),
                                          directory);
    const Time now = RuntimeClock::now();
    const bool queues = m_options.queue.isEnabled && m_options.queue.queuesPlainCalls;
    if (!m_options.schedulesPlainCalls && !queues
        && !m_state.upstreams().isBlockedByLimit(query, directory, now))
        return std::nullopt;
    const KeyedPart randomPart{m_random(), 0}; // distributes the calls among the groups
    return m_state.groups().findGroup(query.service, std::span(&randomPart, 1), directory);
}

// Queries

asio::awaitable<PlacementResult> PlacementLink::select(SelectionQuery query)
{
    const Time startedAt = RuntimeClock::now();
    PlacementResult placed;
    const std::optional<GroupName> group = schedulingGroup(query);
    setMaxWait(&query);
    if (!mayWait(query) && refuseIfHeld(query, &placed))
        co_return placed;
    bool isDone = false;
    if (group) {
        if (query.prompt.empty() && !m_options.schedulesPlainCalls && !mayWait(query))
            query.mayRefuse = false;
        SchedulerResult result = co_await placeByScheduler(&query, *group);
        placed.waited = result.waited;
        if (result.placed) {
            placed = std::move(*result.placed);
            isDone = placed.selection || placed.retryAfter || placed.isWithdrawn;
        }
        if (result.wasQueried || result.isHandedBack)
            query.mayRefuse = false; // its own knowledge is not enough to refuse a call
    }
    if (isDone)
        recordReply(query, placed);
    if (!isDone) {
        const Duration waited = placed.waited;
        placed = selectLocally(query, group);
        placed.waited = waited;
    }
    placed.duration = RuntimeClock::now() - startedAt;
    co_return placed;
}

/// The bound of the call's class, by the routes to its service.
void PlacementLink::setMaxWait(SelectionQuery *query) const
{
    std::span<const UrgencyClass> classes;
    if (m_state.table())
        classes = m_state.table()->urgencyClasses(query->service);
    query->slack.maxWait =
        m_options.refusal.maxWait(query->slack.target, query->slack.urgencyRank, classes);
}

/// Refuses a call that would wait for too long. Its predicted wait includes less urgent calls,
/// which engines take later, so while there are some, only the caller's time counts.
std::optional<Duration> PlacementLink::refusalForWait(const SelectionQuery &query, Duration wait)
{
    const Time now = RuntimeClock::now();
    const unsigned rank = query.slack.urgencyRank;
    std::optional<Duration> retryAfter = m_options.refusal.decide(query.slack, wait);
    if (!retryAfter)
        return std::nullopt;
    if (m_refusals.hasLessUrgentWork(query.service, rank, now))
        retryAfter = m_options.refusal.decideOvertaking(query.slack, wait);
    if (retryAfter)
        m_refusals.refused(query.service, rank, now);
    else
        m_refusals.delayed(query.service, rank, now);
    return retryAfter;
}

/// Refuses a call while more urgent ones of its service get no answer. Callers that were held back
/// return at different times, as otherwise they would take the places from each other.
bool PlacementLink::refuseIfHeld(const SelectionQuery &query, PlacementResult *placed)
{
    if (!query.mayHold || query.prompt.empty() || m_options.refusal.waitTargets <= 0)
        return false;
    const std::optional<Duration> hold =
        m_refusals.remainingHold(query.service, query.slack.urgencyRank, RuntimeClock::now());
    if (!hold)
        return false;
    std::uniform_real_distribution<double> spread(0.0, toSeconds(m_options.lessUrgentHold) / 2);
    placed->retryAfter = *hold + fromSeconds(spread(m_random));
    placed->refusal = ErrorKind::HeldForMoreUrgent;
    placed->placedBy = m_state.vm();
    m_refusals.refused(query.service, query.slack.urgencyRank, RuntimeClock::now());
    return true;
}

/// Records what a scheduler decided, so that this gateway keeps to the order without it as well.
void PlacementLink::recordReply(const SelectionQuery &query, const PlacementResult &placed)
{
    const Time now = RuntimeClock::now();
    if (placed.selection)
        m_refusals.placed(query.service, query.slack.urgencyRank, now);
    else if (placed.retryAfter)
        m_refusals.refused(query.service, query.slack.urgencyRank, now);
}

void PlacementLink::recordUnserved(const ServiceName &service, unsigned urgencyRank)
{
    m_refusals.delayed(service, urgencyRank, RuntimeClock::now());
}

PlacementResult PlacementLink::selectLocally(SelectionQuery query,
                                             const std::optional<GroupName> &group)
{
    if (group)
        query.group = &m_state.groups().groupMembers(*group, m_state.directory());
    else
        query.mayRefuse = false;
    return selectOrRefuse(query);
}

/// Selects an upstream, or refuses a call that could not start in time at any upstream.
PlacementResult PlacementLink::selectOrRefuse(const SelectionQuery &query)
{
    PlacementResult placed;
    placed.placedBy = m_state.vm();
    placed.selection = m_state.upstreams().select(query, m_state.directory(), RuntimeClock::now());
    if (!placed.selection)
        return placed;
    const Time now = RuntimeClock::now();
    if (query.mayRefuse)
        placed.retryAfter = refusalForWait(query, placed.selection->minQueueWait);
    if (!placed.retryAfter && !refuseIfHeld(query, &placed))
        m_refusals.placed(query.service, query.slack.urgencyRank, now);
    if (placed.retryAfter)
        placed.selection.reset();
    return placed;
}

asio::awaitable<PlacementLink::SchedulerResult> PlacementLink::queryScheduler(VmName scheduler,
                                                                              GroupName group,
                                                                              SelectionQuery query,
                                                                              Duration waited)
{
    const QueryId id = m_queries.open(scheduler);
    PlacementQuery message = makeQuery(id, group, scheduler, query);
    if (mayWait(query))
        message.queue = makeQueueTerms(query, waited);
    sendTo(scheduler, PeerMessageKind::PlacementQuery, encodePlacementQuery(message));
    Waiter waiter(m_io, scheduler, group.service);
    const auto waiters = m_waiters; // may outlive the link
    waiters->emplace(id, &waiter);
    error_code ec;
    waiter.timer.expires_after(m_options.replyTimeout);
    co_await waiter.timer.async_wait(storeError(&ec));
    if (waiter.isQueued) {
        m_queries.conclude(id);
        SchedulerResult result = co_await waitForGrant(waiter, id, group, query);
        waiters->erase(id);
        result.wasQueried = true;
        result.waited += waited;
        co_return result;
    }
    waiters->erase(id);
    SchedulerResult result;
    result.wasQueried = true;
    result.waited = waited;
    const std::optional<PlacementReply> &reply = waiter.reply;
    if (reply && (reply->placed || reply->retryAfterMs)) {
        m_queries.conclude(id);
        result.placed = acceptReply(*reply, group, query);
        co_return result;
    }
    // A scheduler without an available upstream is still queried next time: the others do not
    // know which cold upstreams have received their share of calls.
    if (reply && !reply->isStopping)
        m_queries.conclude(id);
    else
        m_queries.queryFailed(id, RuntimeClock::now());
    LogLine(LogLevel::Info, "placement-unanswered")
        .with("scheduler", scheduler.text)
        .with("service", group.service.text)
        .with("group", group.number)
        .with("declined", reply.has_value());
    co_return result;
}

/// Takes over a placement or a refusal. None if this gateway knows that the upstream takes no work.
std::optional<PlacementResult> PlacementLink::acceptReply(const PlacementReply &reply,
                                                          const GroupName &group,
                                                          const SelectionQuery &query)
{
    PlacementResult placed;
    placed.placedBy = reply.from;
    if (reply.queue) {
        m_busyUntil[group] = RuntimeClock::now() + PlacementQueue::busyTime;
        placed.waited = milliseconds(reply.queue->waitedMs);
    }
    if (reply.retryAfterMs) {
        placed.retryAfter = milliseconds(*reply.retryAfterMs);
        if (reply.refusal < errorKindCount)
            placed.refusal = static_cast<ErrorKind>(reply.refusal);
        return placed;
    }
    placed.selection = toSelection(*reply.placed, query);
    if (reply.queue && reply.queue->grant != 0)
        m_lastGrants[group] = {reply.from, reply.queue->grant};
    if (!placed.selection)
        return std::nullopt;
    // The scheduler has counted the call since its reply, so it needs no report of it.
    UpstreamLoad &reported = m_lastReports[group].load[placed.selection->upstream];
    ++reported.running;
    reported.prefillTokens += placed.selection->prefillTokens;
    reported.shortPrompts += placed.selection->isShortPrompt ? 1 : 0;
    return placed;
}

/// Converts the reply by this gateway's own state. None if by that state the upstream is unknown,
/// takes no more work, has been tried already or is in backoff.
std::optional<Selection> PlacementLink::toSelection(const PlacedCall &placed,
                                                    const SelectionQuery &query) const
{
    const UpstreamDirectory &directory = m_state.directory();
    const UpstreamEntry *entry = directory.findByHash(placed.upstream);
    if (entry == nullptr || !directory.takesWork(*entry) || entry->service != query.service)
        return std::nullopt;
    const bool isBackedOff =
        m_state.upstreams().backoffs().isBackedOff(entry->id, RuntimeClock::now());
    if (isBackedOff || !UpstreamTable::isEligible(query, *entry))
        return std::nullopt;
    Selection selection;
    selection.upstream = entry->id;
    selection.prefillTokens = placed.prefillTokens;
    selection.cost = placed.costMs;
    selection.tokensToFirstEvent = placed.tokensToFirstEvent;
    selection.isPreferred = placed.isPreferred;
    selection.isShortPrompt = placed.isShortPrompt;
    const UpstreamEntry *source =
        placed.fetchFrom ? directory.findByHash(*placed.fetchFrom) : nullptr;
    if (source != nullptr && directory.takesWork(*source)
        && UpstreamTable::isInRegion(query, *source))
        selection.fetchFrom = source->id;
    return selection;
}

/// Returns upstreams of the group that requested a backoff from this gateway.
std::vector<UpstreamId> PlacementLink::backedOffUpstreams(const GroupName &group)
{
    std::vector<UpstreamId> upstreams;
    const UpstreamBackoffs &backoffs = m_state.upstreams().backoffs();
    if (backoffs.isEmpty())
        return upstreams;
    const Time now = RuntimeClock::now();
    const std::set<UpstreamId> &members = m_state.groups().groupMembers(group, m_state.directory());
    std::ranges::copy_if(members, std::back_inserter(upstreams),
                         [&](const UpstreamId &id) { return backoffs.isBackedOff(id, now); });
    upstreams.resize(std::min(upstreams.size(), maxBackedOffUpstreams));
    return upstreams;
}

PlacementQuery PlacementLink::makeQuery(QueryId id, const GroupName &group, const VmName &scheduler,
                                        const SelectionQuery &selectionQuery)
{
    const UpstreamDirectory &directory = m_state.directory();
    PlacementQuery query;
    const LoadByGroup own = ownLoads();
    const auto it = own.find(group);
    query.report = makeReport(group, it == own.end() ? LoadByUpstream{} : it->second, scheduler);
    query.queryId = id;
    query.zone = m_state.zone();
    query.model = selectionQuery.model;
    std::ranges::transform(
        selectionQuery.prompt, std::back_inserter(query.prompt), [](const PromptPart &part) {
            return CompactPromptPart{part.id, static_cast<std::uint32_t>(part.tokens)};
        });
    if (selectionQuery.tried != nullptr)
        std::ranges::transform(*selectionQuery.tried, std::back_inserter(query.excluded),
                               upstreamHash);
    std::ranges::transform(backedOffUpstreams(group), std::back_inserter(query.excluded),
                           upstreamHash);
    const auto failing = m_state.upstreams().unhealthyUpstreams(
        selectionQuery.service, directory, RuntimeClock::now(), maxFailingUpstreams);
    std::ranges::transform(failing, std::back_inserter(query.failing), upstreamHash);
    query.targetMs = static_cast<std::uint32_t>(toMillis(selectionQuery.slack.target));
    query.timeLeftMs =
        static_cast<std::uint32_t>(std::max(0.0, toMillis(selectionQuery.slack.timeLeft)));
    constexpr double maxWaitMs = std::numeric_limits<decltype(query.maxWaitMs)>::max();
    query.maxWaitMs = static_cast<decltype(query.maxWaitMs)>(
        std::min(maxWaitMs, toMillis(selectionQuery.slack.maxWait)));
    query.urgencyRank = static_cast<std::uint8_t>(std::min(selectionQuery.slack.urgencyRank, 255U));
    query.mayRefuse = selectionQuery.mayRefuse;
    query.mayHold = selectionQuery.mayHold;
    if (selectionQuery.permittedZones != nullptr)
        query.permittedZones = *selectionQuery.permittedZones;
    if (selectionQuery.softwareVersion != nullptr)
        query.softwareVersion = *selectionQuery.softwareVersion;
    return query;
}

// Replies

void PlacementLink::handleDatagram(PeerMessageKind kind, std::string_view message,
                                   const UdpEndpoint &from)
{
    std::string reason;
    bool isValid = false;
    if (kind == PeerMessageKind::PlacementQuery) {
        const auto query = decodePlacementQuery(message, &reason);
        isValid = query.has_value();
        if (query)
            handleQuery(*query, from);
    } else if (kind == PeerMessageKind::PlacementReply) {
        auto reply = decodePlacementReply(message, &reason);
        isValid = reply.has_value();
        if (reply)
            handleReply(std::move(*reply));
    } else if (kind == PeerMessageKind::GroupLoad) {
        const auto report = decodeGroupLoad(message, &reason);
        isValid = report.has_value();
        if (report)
            applyReport(*report);
    } else if (kind == PeerMessageKind::WaitingCallNote) {
        const auto note = decodeWaitingCallNote(message, &reason);
        isValid = note.has_value();
        if (note)
            handleNote(*note, from);
    }
    if (!isValid)
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

PlacedCall PlacementLink::compactSelection(const Selection &selection)
{
    PlacedCall placed;
    placed.upstream = upstreamHash(selection.upstream);
    placed.prefillTokens = static_cast<std::uint32_t>(selection.prefillTokens);
    placed.costMs = static_cast<std::int32_t>(selection.cost);
    placed.tokensToFirstEvent = static_cast<std::uint32_t>(selection.tokensToFirstEvent);
    placed.isPreferred = selection.isPreferred;
    placed.isShortPrompt = selection.isShortPrompt;
    if (selection.fetchFrom)
        placed.fetchFrom = upstreamHash(*selection.fetchFrom);
    return placed;
}

void PlacementLink::handleQuery(const PlacementQuery &query, const UdpEndpoint &from)
{
    applyReport(query.report);
    PlacementReply reply;
    reply.from = m_state.vm();
    reply.querier = query.report.incarnation;
    reply.queryId = query.queryId;
    const UpstreamDirectory &directory = m_state.directory();
    const GroupName &group = query.report.group;
    std::vector<PromptPart> prompt;
    std::ranges::transform(
        query.prompt, std::back_inserter(prompt),
        [](const CompactPromptPart &part) { return PromptPart{part.id, part.tokens}; });
    const Time now = RuntimeClock::now();
    std::set<UpstreamId> excluded;
    for (const UpstreamHash hash : query.excluded) {
        if (const UpstreamEntry *entry = directory.findByHash(hash))
            excluded.insert(entry->id);
    }
    for (const UpstreamHash hash : query.failing) {
        const UpstreamEntry *entry = directory.findByHash(hash);
        if (entry == nullptr)
            continue;
        excluded.insert(entry->id);
        m_state.upstreams().reportedFailing(entry->id, query.report.from, now);
    }
    SelectionQuery selectionQuery{group.service, query.model, prompt, &excluded};
    selectionQuery.serviceInfo =
        m_state.table() ? m_state.table()->service(group.service) : nullptr;
    selectionQuery.zone = &query.zone;
    selectionQuery.group = &m_state.groups().groupMembers(group, directory);
    selectionQuery.slack = {milliseconds(query.targetMs), milliseconds(query.timeLeftMs),
                            milliseconds(query.maxWaitMs), query.urgencyRank};
    selectionQuery.mayRefuse = query.mayRefuse;
    selectionQuery.mayHold = query.mayHold;
    selectionQuery.permittedZones = query.permittedZones ? &*query.permittedZones : nullptr;
    selectionQuery.softwareVersion = query.softwareVersion ? &*query.softwareVersion : nullptr;
    selectionQuery.isLocal = false;
    selectionQuery.isGroupScheduler = true;
    selectionQuery.ownsLimits = ownsGroupLimits(group);
    if (query.queue && m_queue.isEnabled() && !m_stopping) {
        handleQueuedQuery(query, selectionQuery, from);
        return;
    }
    PlacementResult result;
    reply.isStopping = m_stopping;
    if (!m_stopping)
        result = selectOrRefuse(selectionQuery);
    const std::optional<Selection> &selection = result.selection;
    if (result.retryAfter) {
        reply.retryAfterMs = static_cast<std::uint32_t>(toMillis(*result.retryAfter));
        reply.refusal = static_cast<std::uint8_t>(result.refusal);
    }
    if (selection) {
        m_state.upstreams().addPendingPlacement(query.report.from, query.queryId, selectionQuery,
                                                *selection, now);
        reply.placed = compactSelection(*selection);
    }
    reply.holds = m_refusals.toReport(group.service, RefusalOrder::Source::Report, now);
    count(selection ? Counter::PlacementsGiven : Counter::PlacementsDeclined);
    m_peers.sendTo(from, PeerMessageKind::PlacementReply, encodePlacementReply(reply));
}

void PlacementLink::handleReply(PlacementReply reply)
{
    if (reply.querier != m_peers.incarnation())
        return;
    const bool isPending = m_queries.replyReceived(reply.queryId, reply.from);
    const auto it = m_waiters->find(reply.queryId);
    if (it == m_waiters->end())
        return;
    Waiter &waiter = *it->second;
    if (reply.holds)
        m_refusals.learn(waiter.service, *reply.holds, RefusalOrder::Source::Reply,
                         RuntimeClock::now());
    if (!isPending && !(waiter.isQueued && waiter.scheduler == reply.from))
        return;
    waiter.isQueued |= reply.queue && reply.queue->waitMs > 0;
    waiter.reply = std::move(reply);
    waiter.timer.cancel();
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/placementlink.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Between two looks at which gateways there are.
constexpr Duration fleetAge = milliseconds(250);

auto keepError(error_code *ec)
{
    return asio::redirect_error(asio::use_awaitable, *ec);
}

} // namespace

PlacementLink::PlacementLink(asio::io_context &io, const Options &options, GatewayState &state,
                             GatewayPeers &peers)
    : m_io(io), m_options(options), m_state(state), m_peers(peers), m_asks(state.vm())
{
    m_peers.onDatagram({PeerMessageKind::PlacementQuery, PeerMessageKind::PlacementReply,
                        PeerMessageKind::GroupLoad},
                       [this](PeerMessageKind kind, std::string_view message,
                              const UdpEndpoint &from) { take(kind, message, from); });
    m_peers.setOldestPendingQuery([this] { return m_asks.oldestPendingQuery(); });
    if (m_options.isEnabled)
        asio::co_spawn(io, reportLoop(), asio::detached);
}

void PlacementLink::count(Counter c)
{
    if (m_options.counters != nullptr)
        m_options.counters->add(c);
}

/// Looks again which gateways there are, if that was a while ago.
void PlacementLink::refreshFleet()
{
    const Time now = RuntimeClock::now();
    if (m_fleetAt && now < *m_fleetAt + fleetAge)
        return;
    m_fleetAt = now;
    m_fleet = m_peers.fleet();
    m_names.clear();
    std::map<VmName, MilliCores> cores;
    for (const auto &[vm, entry] : m_fleet) {
        m_names.insert(vm);
        cores.emplace(vm, entry.cores);
    }
    m_strong = strongGateways(cores);
    m_owners = m_strong;
    if (now < m_began + GatewayPeers::peerTimeout)
        return; // one that was not heard yet may live
    const std::set<VmName> heard = m_peers.livePeers();
    std::erase_if(m_owners,
                  [&](const VmName &vm) { return vm != m_state.vm() && !heard.contains(vm); });
    if (!m_owners.empty())
        return;
    m_owners = heard;
    m_owners.insert(m_state.vm());
}

VmName PlacementLink::schedulerFor(const GroupName &group)
{
    refreshFleet();
    return m_asks.schedulerFor(group, m_strong, m_names, RuntimeClock::now());
}

/// Sends to a gateway that is still known; to another it is as if the datagram were lost.
void PlacementLink::sendTo(const VmName &vm, PeerMessageKind kind, const std::string &payload)
{
    const auto it = m_fleet.find(vm);
    if (it != m_fleet.end())
        m_peers.sendTo(it->second.address, kind, payload);
}

/// True at the first gateway in rank that lives, whether or not it answers now: where two gateways
/// took a silent one's place, each with most of a limit, an upstream would get nearly twice of it.
bool PlacementLink::ownsLimitsOf(const GroupName &group)
{
    refreshFleet();
    return electScheduler(group, m_owners) == m_state.vm();
}

/// The group that places a call; nothing where this gateway chooses by itself. Plain calls are
/// placed only while an upstream of their service names a limit, which one gateway gives out.
std::optional<GroupName> PlacementLink::groupOf(const SelectionQuery &ask)
{
    const UpstreamDirectory &directory = m_state.directory();
    if (!m_options.isEnabled)
        return std::nullopt;
    if (!ask.prompt.empty())
        return m_state.groups().findGroup(ask.service, keyParts(ask.model, ask.prompt), directory);
    const Time now = RuntimeClock::now();
    if (!m_options.schedulesPlainCalls
        && !m_state.upstreams().isBlockedByLimit(ask, directory, now))
        return std::nullopt;
    const KeyedPart any{m_random(), 0}; // so that the calls spread over the groups
    return m_state.groups().findGroup(ask.service, std::span(&any, 1), directory);
}

// Asking

asio::awaitable<PlacementResult> PlacementLink::select(SelectionQuery ask)
{
    const Time began = RuntimeClock::now();
    PlacementResult placed;
    const std::optional<GroupName> group = groupOf(ask);
    if (group) {
        const VmName scheduler = schedulerFor(*group);
        ask.isGroupScheduler = scheduler == m_state.vm();
        ask.ownsLimits = ownsLimitsOf(*group);
        if (ask.prompt.empty() && !m_options.schedulesPlainCalls)
            ask.mayRefuse = false;
        if (!ask.isGroupScheduler) {
            const auto answered = co_await askScheduler(scheduler, *group, ask);
            count(answered ? Counter::PlacementsAnswered : Counter::PlacementsUnanswered);
            ask.mayRefuse = false; // what this gateway knows by itself is too little to refuse by
            if (answered)
                placed = *answered;
        }
    }
    if (!placed.selection && !placed.retryAfter)
        placed = chooseHere(ask, group);
    placed.duration = RuntimeClock::now() - began;
    co_return placed;
}

PlacementResult PlacementLink::chooseHere(SelectionQuery ask, const std::optional<GroupName> &group)
{
    if (group)
        ask.group = &m_state.groups().groupMembers(*group, m_state.directory());
    else
        ask.mayRefuse = false;
    return choosePatiently(ask);
}

/// Chooses, or refuses what could not begin in time anywhere.
PlacementResult PlacementLink::choosePatiently(const SelectionQuery &ask)
{
    PlacementResult placed;
    placed.placedBy = m_state.vm();
    placed.selection = m_state.upstreams().select(ask, m_state.directory(), RuntimeClock::now());
    if (!placed.selection || !ask.mayRefuse)
        return placed;
    const Time now = RuntimeClock::now();
    placed.retryAfter = m_options.refusal.decide(ask.slack, placed.selection->minQueueWait);
    if (placed.retryAfter)
        m_refusals.refused(ask.service, ask.slack.urgencyRank, now);
    else if (m_options.refusal.waitTargets > 0)
        placed.retryAfter = m_refusals.remainingHold(ask.service, ask.slack.urgencyRank, now);
    if (placed.retryAfter)
        placed.selection.reset();
    else
        m_refusals.placed(ask.service, ask.slack.urgencyRank, now);
    return placed;
}

asio::awaitable<std::optional<PlacementResult>>
PlacementLink::askScheduler(VmName scheduler, GroupName group, SelectionQuery ask)
{
    const QueryId number = m_asks.open(scheduler);
    const std::string payload = encodePlacementQuery(makeAsk(number, group, ask));
    sendTo(scheduler, PeerMessageKind::PlacementQuery, payload);
    Waiter waiter(m_io);
    const auto waiters = m_waiters; // may outlive the link
    waiters->emplace(number, &waiter);
    error_code ec;
    waiter.timer.expires_after(m_options.replyTimeout);
    co_await waiter.timer.async_wait(keepError(&ec));
    waiters->erase(number);
    PlacementResult placed;
    placed.placedBy = scheduler;
    if (waiter.answer && waiter.answer->retryAfterMs) {
        m_asks.conclude(number);
        placed.retryAfter = milliseconds(*waiter.answer->retryAfterMs);
        co_return placed;
    }
    const bool isPlaced = waiter.answer && waiter.answer->placed;
    if (!isPlaced) {
        // A scheduler that has no upstream to name now is the right one to ask next time: others
        // do not know which cold upstreams had their share.
        if (waiter.answer && !waiter.answer->isStopping)
            m_asks.conclude(number);
        else
            m_asks.queryFailed(number, RuntimeClock::now());
        LogLine(LogLevel::Info, "placement-unanswered")
            .with("scheduler", scheduler.text)
            .with("service", group.service.text)
            .with("group", group.number)
            .with("declined", waiter.answer.has_value());
        co_return std::nullopt;
    }
    m_asks.conclude(number);
    placed.selection = readPlaced(*waiter.answer->placed, ask);
    if (!placed.selection)
        co_return std::nullopt;
    // The scheduler counts the call from its answer on, so it need not be told of it.
    UpstreamLoad &known = m_reported[group].load[placed.selection->upstream];
    ++known.running;
    known.prefillTokens += placed.selection->prefillTokens;
    known.shortPrompts += placed.selection->isShortPrompt ? 1 : 0;
    co_return placed;
}

/// What the answer names, as this gateway knows it; nothing when it knows better: the upstream
/// takes no more work, was tried, or is backed off.
std::optional<Selection> PlacementLink::readPlaced(const PlacedCall &placed,
                                                   const SelectionQuery &ask) const
{
    const UpstreamDirectory &directory = m_state.directory();
    const UpstreamEntry *entry = directory.findByHash(placed.upstream);
    if (entry == nullptr || !directory.takesWork(*entry) || entry->service != ask.service)
        return std::nullopt;
    const bool isBackedOff =
        m_state.upstreams().backoffs().isBackedOff(entry->id, RuntimeClock::now());
    if (isBackedOff || !UpstreamTable::isEligible(ask, *entry))
        return std::nullopt;
    Selection choice;
    choice.upstream = entry->id;
    choice.prefillTokens = placed.prefillTokens;
    choice.cost = placed.costMs;
    choice.tokensToFirstEvent = placed.tokensToFirstEvent;
    choice.isPreferred = placed.isPreferred;
    choice.isShortPrompt = placed.isShortPrompt;
    const UpstreamEntry *source =
        placed.fetchFrom ? directory.findByHash(*placed.fetchFrom) : nullptr;
    if (source != nullptr && directory.takesWork(*source)
        && UpstreamTable::isInRegion(ask, *source))
        choice.fetchFrom = source->id;
    return choice;
}

/// Upstreams of the group that asked this gateway to back off.
std::vector<UpstreamId> PlacementLink::backedOffIn(const GroupName &group)
{
    std::vector<UpstreamId> found;
    const UpstreamBackoffs &backoffs = m_state.upstreams().backoffs();
    if (backoffs.isEmpty())
        return found;
    const Time now = RuntimeClock::now();
    const std::set<UpstreamId> &members = m_state.groups().groupMembers(group, m_state.directory());
    std::ranges::copy_if(members, std::back_inserter(found),
                         [&](const UpstreamId &id) { return backoffs.isBackedOff(id, now); });
    found.resize(std::min(found.size(), maxBackedOffUpstreams));
    return found;
}

PlacementQuery PlacementLink::makeAsk(QueryId number, const GroupName &group,
                                      const SelectionQuery &ask)
{
    const UpstreamDirectory &directory = m_state.directory();
    PlacementQuery made;
    const LoadByGroup own = ownLoads();
    const auto it = own.find(group);
    made.report = makeReport(group, it == own.end() ? LoadByUpstream{} : it->second);
    made.queryId = number;
    made.zone = m_state.zone();
    made.model = ask.model;
    std::ranges::transform(ask.prompt, std::back_inserter(made.prompt), [](const PromptPart &part) {
        return CompactPromptPart{part.id, static_cast<std::uint32_t>(part.tokens)};
    });
    if (ask.tried != nullptr)
        std::ranges::transform(*ask.tried, std::back_inserter(made.excluded), upstreamHash);
    std::ranges::transform(backedOffIn(group), std::back_inserter(made.excluded), upstreamHash);
    const auto failing = m_state.upstreams().unhealthyUpstreams(
        ask.service, directory, RuntimeClock::now(), maxFailingUpstreams);
    std::ranges::transform(failing, std::back_inserter(made.failing), upstreamHash);
    made.targetMs = static_cast<std::uint32_t>(toMillis(ask.slack.target));
    made.timeLeftMs = static_cast<std::uint32_t>(std::max(0.0, toMillis(ask.slack.timeLeft)));
    made.isMostUrgent = ask.slack.isMostUrgent;
    made.urgencyRank = static_cast<std::uint8_t>(std::min(ask.slack.urgencyRank, 255U));
    made.mayRefuse = ask.mayRefuse;
    if (ask.permittedZones != nullptr)
        made.permittedZones = *ask.permittedZones;
    return made;
}

// Reports

GroupLoad PlacementLink::makeReport(const GroupName &group, const LoadByUpstream &load)
{
    GroupLoad report;
    report.from = m_state.vm();
    report.incarnation = m_peers.incarnation();
    report.sequence = m_peers.nextSequence();
    report.group = group;
    report.oldestPendingQuery = m_asks.oldestPendingQuery();
    report.load = compactLoad(load);
    report.rateSample = m_state.upstreams().takeRateSample(group.service);
    const Time now = RuntimeClock::now();
    report.limits =
        m_peers.limitsToReport(now, &m_state.groups().groupMembers(group, m_state.directory()));
    report.leaving = m_peers.leavingToReport(now, &group.service);
    m_reported[group] = {load, RuntimeClock::now()};
    return report;
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
        timer.expires_after(m_options.reportInterval);
        co_await timer.async_wait(keepError(&ec));
        sendReports();
    }
}

void PlacementLink::sendReports()
{
    LoadByGroup loads = ownLoads();
    for (const GroupName &group : m_reported | std::views::keys)
        loads.try_emplace(group); // what has ended is told as well
    const Time now = RuntimeClock::now();
    for (const auto &[group, load] : loads) {
        const Reported &told = m_reported[group];
        const bool isOld = !load.empty() && told.at + refreshInterval <= now;
        if (told.load == load && !isOld)
            continue;
        const VmName scheduler = schedulerFor(group);
        const GroupLoad report = makeReport(group, load);
        if (scheduler == m_state.vm())
            continue;
        sendTo(scheduler, PeerMessageKind::GroupLoad, encodeGroupLoad(report));
    }
    std::erase_if(m_reported, [](const auto &it) { return it.second.load.empty(); });
}

// Answering

void PlacementLink::take(PeerMessageKind kind, std::string_view message, const UdpEndpoint &from)
{
    std::string reason;
    bool isGood = false;
    if (kind == PeerMessageKind::PlacementQuery) {
        const auto ask = decodePlacementQuery(message, &reason);
        isGood = ask.has_value();
        if (ask)
            takeAsk(*ask, from);
    } else if (kind == PeerMessageKind::PlacementReply) {
        auto answer = decodePlacementReply(message, &reason);
        isGood = answer.has_value();
        if (answer)
            takeAnswer(std::move(*answer));
    } else if (kind == PeerMessageKind::GroupLoad) {
        const auto report = decodeGroupLoad(message, &reason);
        isGood = report.has_value();
        if (report)
            takeReport(*report);
    }
    if (!isGood)
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

void PlacementLink::takeReport(const GroupLoad &report)
{
    if (!m_peers.acceptSequence(report.from, report.incarnation, report.sequence))
        return;
    const std::set<UpstreamId> &group =
        m_state.groups().groupMembers(report.group, m_state.directory());
    m_state.upstreams().setPeerLoad(
        report.from, {expandLoad(report.load, m_state.directory()), report.oldestPendingQuery},
        group, RuntimeClock::now());
    if (!report.rateSample.empty())
        m_state.upstreams().addRateSample(report.group.service, report.rateSample);
    m_state.learnLimits(expandLimits(report.limits, m_state.directory()), report.from);
    m_state.learnLeaving(report.leaving, report.from);
}

void PlacementLink::takeAsk(const PlacementQuery &ask, const UdpEndpoint &from)
{
    takeReport(ask.report);
    PlacementReply answer;
    answer.from = m_state.vm();
    answer.querier = ask.report.incarnation;
    answer.queryId = ask.queryId;
    const UpstreamDirectory &directory = m_state.directory();
    const GroupName &group = ask.report.group;
    std::vector<PromptPart> prompt;
    std::ranges::transform(
        ask.prompt, std::back_inserter(prompt),
        [](const CompactPromptPart &part) { return PromptPart{part.id, part.tokens}; });
    const Time now = RuntimeClock::now();
    std::set<UpstreamId> avoided;
    for (const UpstreamHash tag : ask.excluded) {
        if (const UpstreamEntry *entry = directory.findByHash(tag))
            avoided.insert(entry->id);
    }
    for (const UpstreamHash tag : ask.failing) {
        const UpstreamEntry *entry = directory.findByHash(tag);
        if (entry == nullptr)
            continue;
        avoided.insert(entry->id);
        m_state.upstreams().reportedFailing(entry->id, ask.report.from, now);
    }
    SelectionQuery wanted{group.service, ask.model, prompt, &avoided};
    wanted.serviceInfo = m_state.table() ? m_state.table()->service(group.service) : nullptr;
    wanted.zone = &ask.zone;
    wanted.group = &m_state.groups().groupMembers(group, directory);
    wanted.slack = {milliseconds(ask.targetMs), milliseconds(ask.timeLeftMs), ask.isMostUrgent,
                    ask.urgencyRank};
    wanted.mayRefuse = ask.mayRefuse;
    wanted.permittedZones = ask.permittedZones ? &*ask.permittedZones : nullptr;
    wanted.isLocal = false;
    wanted.isGroupScheduler = true;
    wanted.ownsLimits = ownsLimitsOf(group);
    PlacementResult chosen;
    answer.isStopping = m_stopping;
    if (!m_stopping)
        chosen = choosePatiently(wanted);
    const std::optional<Selection> &choice = chosen.selection;
    if (chosen.retryAfter)
        answer.retryAfterMs = static_cast<std::uint32_t>(toMillis(*chosen.retryAfter));
    if (choice) {
        m_state.upstreams().addPendingPlacement(ask.report.from, ask.queryId, wanted, *choice, now);
        PlacedCall placed;
        placed.upstream = upstreamHash(choice->upstream);
        placed.prefillTokens = static_cast<std::uint32_t>(choice->prefillTokens);
        placed.costMs = static_cast<std::int32_t>(choice->cost);
        placed.tokensToFirstEvent = static_cast<std::uint32_t>(choice->tokensToFirstEvent);
        placed.isPreferred = choice->isPreferred;
        placed.isShortPrompt = choice->isShortPrompt;
        if (choice->fetchFrom)
            placed.fetchFrom = upstreamHash(*choice->fetchFrom);
        answer.placed = placed;
    }
    count(choice ? Counter::PlacementsGiven : Counter::PlacementsDeclined);
    m_peers.sendTo(from, PeerMessageKind::PlacementReply, encodePlacementReply(answer));
}

void PlacementLink::takeAnswer(PlacementReply answer)
{
    if (answer.querier != m_peers.incarnation())
        return;
    if (!m_asks.replyReceived(answer.queryId, answer.from))
        return;
    const auto it = m_waiters->find(answer.queryId);
    if (it == m_waiters->end())
        return;
    it->second->answer = std::move(answer);
    it->second->timer.cancel();
}

} // namespace reachlead

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
    m_peers.onDatagram(
        {SealedKind::PlacementAsk, SealedKind::PlacementAnswer, SealedKind::GroupLoad},
        [this](SealedKind kind, std::string_view message, const UdpEndpoint &from) {
            take(kind, message, from);
        });
    m_peers.tellOpenAsks([this] { return m_asks.openFrom(); });
    if (m_options.isOn)
        asio::co_spawn(io, reportLoop(), asio::detached);
}

void PlacementLink::count(Count c)
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
    m_strong = strongestOf(cores);
    m_owners = m_strong;
    if (now < m_began + GatewayPeers::peerLimit)
        return; // one that was not heard yet may live
    const std::set<VmName> heard = m_peers.heard();
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
void PlacementLink::sendTo(const VmName &vm, SealedKind kind, const std::string &payload)
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
    return schedulerOf(group, m_owners) == m_state.vm();
}

/// The group that places a call; nothing where this gateway chooses by itself. Plain calls are
/// placed only while an upstream of their service names a limit, which one gateway gives out.
std::optional<GroupName> PlacementLink::groupOf(const ChoiceAsk &ask)
{
    const UpstreamDirectory &directory = m_state.directory();
    if (!m_options.isOn)
        return std::nullopt;
    if (!ask.prompt.empty())
        return m_state.groups().groupOf(ask.service, keyParts(ask.model, ask.prompt), directory);
    const Time now = RuntimeClock::now();
    if (!m_options.plainCalls && !m_state.book().isKeptByLimits(ask, directory, now))
        return std::nullopt;
    const KeyedPart any{m_random(), 0}; // so that the calls spread over the groups
    return m_state.groups().groupOf(ask.service, std::span(&any, 1), directory);
}

// Asking

asio::awaitable<PlacedChoice> PlacementLink::choose(ChoiceAsk ask)
{
    const Time began = RuntimeClock::now();
    PlacedChoice placed;
    const std::optional<GroupName> group = groupOf(ask);
    if (group) {
        const VmName scheduler = schedulerFor(*group);
        ask.placesForAll = scheduler == m_state.vm();
        ask.ownsLimits = ownsLimitsOf(*group);
        if (ask.prompt.empty() && !m_options.plainCalls)
            ask.mayRefuse = false;
        if (!ask.placesForAll) {
            const auto answered = co_await askScheduler(scheduler, *group, ask);
            count(answered ? Count::PlacementsAnswered : Count::PlacementsUnanswered);
            ask.mayRefuse = false; // what this gateway knows by itself is too little to refuse by
            if (answered)
                placed = *answered;
        }
    }
    if (!placed.choice && !placed.comeBack)
        placed = chooseHere(ask, group);
    placed.took = RuntimeClock::now() - began;
    co_return placed;
}

PlacedChoice PlacementLink::chooseHere(ChoiceAsk ask, const std::optional<GroupName> &group)
{
    if (group)
        ask.group = &m_state.groups().membersOf(*group, m_state.directory());
    else
        ask.mayRefuse = false;
    return choosePatiently(ask);
}

/// Chooses, or refuses what could not begin in time anywhere.
PlacedChoice PlacementLink::choosePatiently(const ChoiceAsk &ask)
{
    PlacedChoice placed;
    placed.by = m_state.vm();
    placed.choice = m_state.book().choose(ask, m_state.directory(), RuntimeClock::now());
    if (!placed.choice || !ask.mayRefuse)
        return placed;
    const Time now = RuntimeClock::now();
    placed.comeBack = m_options.refusal.decide(ask.patience, placed.choice->leastWait);
    if (placed.comeBack)
        m_refusals.refused(ask.service, ask.patience.rank, now);
    else if (m_options.refusal.targets > 0)
        placed.comeBack = m_refusals.holdOf(ask.service, ask.patience.rank, now);
    if (placed.comeBack)
        placed.choice.reset();
    else
        m_refusals.placed(ask.service, ask.patience.rank, now);
    return placed;
}

asio::awaitable<std::optional<PlacedChoice>>
PlacementLink::askScheduler(VmName scheduler, GroupName group, ChoiceAsk ask)
{
    const AskNumber number = m_asks.open(scheduler);
    const std::string payload = encodePlacementAsk(makeAsk(number, group, ask));
    sendTo(scheduler, SealedKind::PlacementAsk, payload);
    Waiter waiter(m_io);
    const auto waiters = m_waiters; // may outlive the link
    waiters->emplace(number, &waiter);
    error_code ec;
    waiter.timer.expires_after(m_options.answerLimit);
    co_await waiter.timer.async_wait(keepError(&ec));
    waiters->erase(number);
    PlacedChoice placed;
    placed.by = scheduler;
    if (waiter.answer && waiter.answer->comeBackMs) {
        m_asks.conclude(number);
        placed.comeBack = milliseconds(*waiter.answer->comeBackMs);
        co_return placed;
    }
    const bool isPlaced = waiter.answer && waiter.answer->placed;
    if (!isPlaced) {
        // A scheduler that has no upstream to name now is the right one to ask next time: others
        // do not know which cold upstreams had their share.
        if (waiter.answer && !waiter.answer->isStopping)
            m_asks.conclude(number);
        else
            m_asks.missed(number, RuntimeClock::now());
        LogLine(LogLevel::Info, "placement-unanswered")
            .with("scheduler", scheduler.text)
            .with("service", group.service.text)
            .with("group", group.number)
            .with("declined", waiter.answer.has_value());
        co_return std::nullopt;
    }
    m_asks.conclude(number);
    placed.choice = readPlaced(*waiter.answer->placed, ask);
    if (!placed.choice)
        co_return std::nullopt;
    // The scheduler counts the call from its answer on, so it need not be told of it.
    UpstreamLoad &known = m_reported[group].load[placed.choice->upstream];
    ++known.running;
    known.unreadTokens += placed.choice->unreadTokens;
    known.brief += placed.choice->isBrief ? 1 : 0;
    co_return placed;
}

/// What the answer names, as this gateway knows it; nothing when it knows better: the upstream
/// takes no more work, was tried, or is backed off.
std::optional<Choice> PlacementLink::readPlaced(const PlacedCall &placed,
                                                const ChoiceAsk &ask) const
{
    const UpstreamDirectory &directory = m_state.directory();
    const UpstreamEntry *entry = directory.findTag(placed.upstream);
    if (entry == nullptr || !directory.takesWork(*entry) || entry->service != ask.service)
        return std::nullopt;
    const bool isBackedOff = m_state.book().backoffs().isBackedOff(entry->id, RuntimeClock::now());
    if (isBackedOff || !UpstreamBook::isEligible(ask, *entry))
        return std::nullopt;
    Choice choice;
    choice.upstream = entry->id;
    choice.unreadTokens = placed.unreadTokens;
    choice.cost = placed.costMs;
    choice.aheadTokens = placed.aheadTokens;
    choice.isHome = placed.isHome;
    choice.isBrief = placed.isBrief;
    const UpstreamEntry *source = placed.fetchFrom ? directory.findTag(*placed.fetchFrom) : nullptr;
    if (source != nullptr && directory.takesWork(*source) && UpstreamBook::isInRegion(ask, *source))
        choice.fetchFrom = source->id;
    return choice;
}

/// Upstreams of the group that asked this gateway to back off.
std::vector<UpstreamId> PlacementLink::backedOffIn(const GroupName &group)
{
    std::vector<UpstreamId> found;
    const UpstreamBackoffs &backoffs = m_state.book().backoffs();
    if (backoffs.isEmpty())
        return found;
    const Time now = RuntimeClock::now();
    const std::set<UpstreamId> &members = m_state.groups().membersOf(group, m_state.directory());
    std::ranges::copy_if(members, std::back_inserter(found),
                         [&](const UpstreamId &id) { return backoffs.isBackedOff(id, now); });
    found.resize(std::min(found.size(), mostBackedOff));
    return found;
}

PlacementAsk PlacementLink::makeAsk(AskNumber number, const GroupName &group, const ChoiceAsk &ask)
{
    const UpstreamDirectory &directory = m_state.directory();
    PlacementAsk made;
    const LoadByGroup own = ownLoads();
    const auto it = own.find(group);
    made.report = makeReport(group, it == own.end() ? LoadByUpstream{} : it->second);
    made.number = number;
    made.zone = m_state.zone();
    made.model = ask.model;
    std::ranges::transform(ask.prompt, std::back_inserter(made.prompt), [](const PromptPart &part) {
        return AskedPart{part.id, static_cast<std::uint32_t>(part.tokens)};
    });
    if (ask.tried != nullptr)
        std::ranges::transform(*ask.tried, std::back_inserter(made.avoided), tagOf);
    std::ranges::transform(backedOffIn(group), std::back_inserter(made.avoided), tagOf);
    const auto failing =
        m_state.book().unhealthyOf(ask.service, directory, RuntimeClock::now(), mostFailing);
    std::ranges::transform(failing, std::back_inserter(made.failing), tagOf);
    made.targetMs = static_cast<std::uint32_t>(toMillis(ask.patience.target));
    made.leftMs = static_cast<std::uint32_t>(std::max(0.0, toMillis(ask.patience.left)));
    made.isMostUrgent = ask.patience.isMostUrgent;
    made.rank = static_cast<std::uint8_t>(std::min(ask.patience.rank, 255U));
    made.mayRefuse = ask.mayRefuse;
    if (ask.zones != nullptr)
        made.zones = *ask.zones;
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
    report.openFrom = m_asks.openFrom();
    report.load = tagLoad(load);
    report.pace = m_state.book().takePace(group.service);
    const Time now = RuntimeClock::now();
    report.limits =
        m_peers.limitsToTell(now, &m_state.groups().membersOf(group, m_state.directory()));
    report.leaving = m_peers.leavingToTell(now, &group.service);
    m_reported[group] = {load, RuntimeClock::now()};
    return report;
}

PlacementLink::LoadByGroup PlacementLink::ownLoads()
{
    LoadByGroup loads;
    for (const auto &[id, load] : m_state.book().ownLoad()) {
        if (const auto group = m_state.groups().groupOf(id, m_state.directory()))
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
        sendTo(scheduler, SealedKind::GroupLoad, encodeReport(report));
    }
    std::erase_if(m_reported, [](const auto &it) { return it.second.load.empty(); });
}

// Answering

void PlacementLink::take(SealedKind kind, std::string_view message, const UdpEndpoint &from)
{
    std::string reason;
    bool isGood = false;
    if (kind == SealedKind::PlacementAsk) {
        const auto ask = decodePlacementAsk(message, &reason);
        isGood = ask.has_value();
        if (ask)
            takeAsk(*ask, from);
    } else if (kind == SealedKind::PlacementAnswer) {
        auto answer = decodePlacementAnswer(message, &reason);
        isGood = answer.has_value();
        if (answer)
            takeAnswer(std::move(*answer));
    } else if (kind == SealedKind::GroupLoad) {
        const auto report = decodeReport(message, &reason);
        isGood = report.has_value();
        if (report)
            takeReport(*report);
    }
    if (!isGood)
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
}

void PlacementLink::takeReport(const GroupLoad &report)
{
    if (!m_peers.takeSequence(report.from, report.incarnation, report.sequence))
        return;
    const std::set<UpstreamId> &group =
        m_state.groups().membersOf(report.group, m_state.directory());
    m_state.book().setPeerLoad(report.from,
                               {untagLoad(report.load, m_state.directory()), report.openFrom},
                               group, RuntimeClock::now());
    if (!report.pace.empty())
        m_state.book().learnPace(report.group.service, report.pace);
    m_state.learnLimits(untagLimits(report.limits, m_state.directory()), report.from);
    m_state.learnLeaving(report.leaving, report.from);
}

void PlacementLink::takeAsk(const PlacementAsk &ask, const UdpEndpoint &from)
{
    takeReport(ask.report);
    PlacementAnswer answer;
    answer.from = m_state.vm();
    answer.asker = ask.report.incarnation;
    answer.number = ask.number;
    const UpstreamDirectory &directory = m_state.directory();
    const GroupName &group = ask.report.group;
    std::vector<PromptPart> prompt;
    std::ranges::transform(ask.prompt, std::back_inserter(prompt),
                           [](const AskedPart &part) { return PromptPart{part.id, part.tokens}; });
    const Time now = RuntimeClock::now();
    std::set<UpstreamId> avoided;
    for (const UpstreamTagNumber tag : ask.avoided) {
        if (const UpstreamEntry *entry = directory.findTag(tag))
            avoided.insert(entry->id);
    }
    for (const UpstreamTagNumber tag : ask.failing) {
        const UpstreamEntry *entry = directory.findTag(tag);
        if (entry == nullptr)
            continue;
        avoided.insert(entry->id);
        m_state.book().reportedFailing(entry->id, ask.report.from, now);
    }
    ChoiceAsk wanted{group.service, ask.model, prompt, &avoided};
    wanted.info = m_state.table() ? m_state.table()->service(group.service) : nullptr;
    wanted.zone = &ask.zone;
    wanted.group = &m_state.groups().membersOf(group, directory);
    wanted.patience = {milliseconds(ask.targetMs), milliseconds(ask.leftMs), ask.isMostUrgent,
                       ask.rank};
    wanted.mayRefuse = ask.mayRefuse;
    wanted.zones = ask.zones ? &*ask.zones : nullptr;
    wanted.isOwn = false;
    wanted.placesForAll = true;
    wanted.ownsLimits = ownsLimitsOf(group);
    PlacedChoice chosen;
    answer.isStopping = m_stopping;
    if (!m_stopping)
        chosen = choosePatiently(wanted);
    const std::optional<Choice> &choice = chosen.choice;
    if (chosen.comeBack)
        answer.comeBackMs = static_cast<std::uint32_t>(toMillis(*chosen.comeBack));
    if (choice) {
        m_state.book().granted(ask.report.from, ask.number, wanted, *choice, now);
        PlacedCall placed;
        placed.upstream = tagOf(choice->upstream);
        placed.unreadTokens = static_cast<std::uint32_t>(choice->unreadTokens);
        placed.costMs = static_cast<std::int32_t>(choice->cost);
        placed.aheadTokens = static_cast<std::uint32_t>(choice->aheadTokens);
        placed.isHome = choice->isHome;
        placed.isBrief = choice->isBrief;
        if (choice->fetchFrom)
            placed.fetchFrom = tagOf(*choice->fetchFrom);
        answer.placed = placed;
    }
    count(choice ? Count::PlacementsGiven : Count::PlacementsDeclined);
    m_peers.sendTo(from, SealedKind::PlacementAnswer, encodePlacementAnswer(answer));
}

void PlacementLink::takeAnswer(PlacementAnswer answer)
{
    if (answer.asker != m_peers.incarnation())
        return;
    if (!m_asks.answered(answer.number, answer.from))
        return;
    const auto it = m_waiters->find(answer.number);
    if (it == m_waiters->end())
        return;
    it->second->answer = std::move(answer);
    it->second->timer.cancel();
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/gatewaystate.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <reachlead/log.h>

namespace reachlead {

namespace {

void logLimit(const LimitUpdate &note, std::string_view source)
{
    constexpr double none = -1.0;
    LogLine(LogLevel::Info, "upstream-limit")
        .with("upstream", note.upstream.text)
        .with("born", note.upstream.startedAt)
        .with("per_second", note.limit ? note.limit->perSecond() : none)
        .with("source", source);
}

/// Logs an answer of the platform that is older than the local state, and is therefore ignored.
void logIgnored(std::string_view kind, StoreRevision revision, StoreRevision known)
{
    LogLine(LogLevel::Warn, "platform-answer-ignored")
        .with("kind", kind)
        .with("era", revision.era)
        .with("revision", revision.number)
        .with("known_era", known.era)
        .with("known", known.number);
}

} // namespace

GatewayState::GatewayState(const Options &options)
    : m_options(options), m_upstreams(options.zone, options.costs), m_groups(options.groupSize),
      m_retries(options.retries), m_watcherElection(options.vm, options.watcherElection)
{
    setLiveGateways(m_liveGateways);
    m_upstreams.limitShares().setStarted(now());
    m_retries.setStarted(now());
    m_watcherElection.start(now());
}

void GatewayState::configRead(RoutingConfig config)
{
    applyConfig(std::move(config), "platform");
}

void GatewayState::applyConfig(RoutingConfig config, std::string_view source)
{
    const std::uint64_t held = configVersion();
    if (config.version <= held)
        return;
    LogLine(LogLevel::Info, "config-applied")
        .with("version", config.version)
        .with("before", held)
        .with("source", source)
        .with("routes", config.routes.size())
        .with("accounts", config.accounts.size());
    if (m_table)
        m_formerTables.push_back({m_table, now()});
    if (m_formerTables.size() > maxFormerTables)
        m_formerTables.pop_front();
    m_table = std::make_shared<const RouteTable>(std::move(config));
    if (m_onChange)
        m_onChange();
}

void GatewayState::upstreamsListed(std::vector<UpstreamEntry> entries, StoreRevision revision)
{
    if (revision < m_directory.revision())
        logIgnored("upstreams", revision, m_directory.revision());
    handleChange(m_directory.replaceAll(entries, revision, now()), "platform");
}

void GatewayState::upstreamsChanged(std::vector<UpstreamChange> changes, StoreRevision revision)
{
    if (revision < m_directory.revision())
        logIgnored("upstreams", revision, m_directory.revision());
    handleChange(m_directory.applyChanges(changes, revision, now()), "platform");
}

void GatewayState::gatewaysChanged(GatewayRoster roster)
{
    if (roster.revision.isKnown() && roster.revision < m_roster.revision)
        logIgnored("roster", roster.revision, m_roster.revision);
    if (roster.revision <= m_roster.revision)
        return;
    if (roster.isUnreadable)
        roster.gateways = m_roster.gateways;
    const bool isSame = roster.gateways == m_roster.gateways;
    m_roster = std::move(roster);
    if (isSame)
        return;
    setLiveGateways(m_liveGateways);
    LogLine(LogLevel::Info, "gateways-changed").with("gateways", m_roster.gateways.size());
}

void GatewayState::evacuationsRead(ZoneSet zones, StoreRevision revision)
{
    if (revision < m_evacuations.readRevision())
        logIgnored("evacuations", revision, m_evacuations.readRevision());
    if (m_evacuations.setFromPlatform(std::move(zones), revision, now()))
        applyEvacuations("platform");
}

/// Takes the upstreams of evacuated zones out of use and those of other zones back into use. The
/// latter may have become cold meanwhile. Their registry entries may report that only after the end
/// of the evacuation was read, as registry and evacuations are followed separately.
void GatewayState::applyEvacuations(std::string_view source)
{
    const ZoneSet zones = m_evacuations.zones();
    LogLine(LogLevel::Warn, "evacuations-changed")
        .with("zones", zones.size())
        .with("first", zones.empty() ? "-" : zones.begin()->text)
        .with("era", m_evacuations.revision().era)
        .with("revision", m_evacuations.revision().number)
        .with("source", source);
    const UpstreamDirectory::UsableChanges changed = m_directory.setEvacuated(zones);
    std::ranges::for_each(changed.added,
                          [this](const UpstreamId &id) { m_upstreams.mayBeCold(id, now()); });
    const bool isReported = !changed.added.empty() || !changed.withdrawn.empty();
    handleChange(changed, source);
    if (!isReported && m_onChange)
        m_onChange(); // affects no upstream known here, but peers must receive the evacuations
}

void GatewayState::setLiveGateways(std::size_t count)
{
    m_liveGateways = count;
    const std::size_t gateways = std::max({count, m_roster.gateways.size(), m_options.minGateways});
    m_retries.setGatewayCount(gateways);
    m_upstreams.setFleet(gateways, std::hash<VmName>{}(vm()));
}

void GatewayState::contactChanged(bool inContact)
{
    if (inContact == m_directory.inContact())
        return;
    if (inContact)
        m_directory.regainedContact(now());
    else
        m_directory.lostContact();
    LogLine(inContact ? LogLevel::Info : LogLevel::Warn,
            inContact ? "registry-regained" : "registry-lost")
        .with("config_version", configVersion())
        .with("registry_revision", m_directory.revision().number)
        .with("upstreams", m_directory.entries().size());
}

void GatewayState::verified(Time at)
{
    setCurrentAt(at);
}

/// Records that the state was current at \p at. If it had become old before, that of the peers may
/// have as well, so they are notified at once: otherwise each of them would read the store after
/// the loss of all watchers.
void GatewayState::setCurrentAt(Time at)
{
    if (m_currentAt && at <= *m_currentAt)
        return;
    // Upstreams may have come and left meanwhile. A process that stood still handles in a row what
    // arrived since.
    const Time handledAt = std::exchange(m_verificationHandledAt, now());
    const bool wasStale =
        !m_currentAt || *m_currentAt + staleLimit() < at || handledAt + staleLimit() < now();
    if (wasStale)
        m_directory.startObservation(now());
    const Duration halfLimit = m_options.watcherElection.staleLimit / 2;
    const bool wasOld = m_currentAt && *m_currentAt + halfLimit < now();
    m_currentAt = at;
    m_verificationWaiters.verified(at);
    if (wasOld && at + halfLimit > now() && m_onChange)
        m_onChange();
}

void GatewayState::quarantineRead(std::vector<Quarantine> quarantines)
{
    learnQuarantines(quarantines, "platform");
}

std::vector<Quarantine> GatewayState::quarantined() const
{
    return m_crashes.quarantines(now());
}

void GatewayState::learnQuarantines(const std::vector<Quarantine> &quarantines,
                                    std::string_view source)
{
    bool isStarted = false;
    for (const Quarantine &it : quarantines) {
        if (!m_crashes.merge(it, now()))
            continue;
        isStarted = isStarted || it.isInForce();
        LogLine(LogLevel::Warn, it.isInForce() ? "quarantine-learned" : "quarantine-released")
            .with("request", toString(quarantineId(it.contents)))
            .with("contents", it.contents.size())
            .with("left_ms", it.leftMs)
            .with("source", source);
    }
    if (isStarted)
        quarantineStarted();
}

GatewayState::NoticeChanges GatewayState::applyNotice(const UpstreamId &id,
                                                      const UpstreamNotice &notice)
{
    NoticeChanges changes;
    const UnixMillis stamp = m_timeOfDay();
    changes.hasNewLimit =
        notice.isLimitValid && m_upstreams.limits().recordAnswer(id, notice.limit, now(), stamp);
    if (changes.hasNewLimit)
        logLimit({id, notice.limit, stamp}, "answer");
    changes.isNewlyLeaving = notice.isLeaving && !m_directory.leaving().contains(id);
    if (changes.isNewlyLeaving)
        handleChange(m_directory.setLeaving(id, now()), "answer");
    changes.hasBackoff = notice.retryAfter.has_value();
    if (changes.hasBackoff) {
        m_upstreams.backoffs().add(id, *notice.retryAfter, now());
        LogLine(LogLevel::Info, "upstream-backoff")
            .with("upstream", id.text)
            .with("born", id.startedAt)
            .with("for_ms", static_cast<std::int64_t>(toMillis(*notice.retryAfter)));
    }
    return changes;
}

void GatewayState::learnLeaving(const std::vector<UpstreamId> &ids, const VmName &peer)
{
    for (const UpstreamId &id : ids)
        handleChange(m_directory.setLeaving(id, now()), peer.text);
}

void GatewayState::learnLimits(const std::vector<LimitUpdate> &notes, const VmName &peer)
{
    for (const LimitUpdate &note : notes) {
        if (m_upstreams.limits().applyUpdate(note, now()))
            logLimit(note, peer.text);
    }
}

void GatewayState::confirmed(Time at)
{
    m_watcherElection.confirmed(at);
    setCurrentAt(at);
}

std::set<ServiceName> GatewayState::recentServices(const std::string &route) const
{
    std::set<ServiceName> names;
    const auto add = [&](const RouteTablePtr &table) {
        for (const Route &it : table->config().routes) {
            if (it.name == route)
                std::ranges::transform(it.services, std::inserter(names, names.end()),
                                       &ServiceShare::service);
        }
    };
    for (const FormerTable &it : m_formerTables) {
        if (now() < it.replacedAt + StreamBindings::maxRetention)
            add(it.table);
    }
    if (m_table)
        add(m_table);
    return names;
}

bool GatewayState::isConfirmed() const
{
    return !m_watcherElection.isStale(now());
}

bool GatewayState::shouldWatch(const std::set<VmName> &peers) const
{
    return m_watcherElection.isWatcher(peers, now());
}

void GatewayState::applyPeerUpdate(const VmName &peer, const StateUpdate &update)
{
    if (update.config)
        applyConfig(*update.config, peer.text);
    if (update.configChange && m_table) {
        if (auto config = applyDelta(m_table->config(), *update.configChange))
            applyConfig(std::move(*config), peer.text);
    }
    if (update.roster.revision.isKnown())
        gatewaysChanged(update.roster);
    if (m_evacuations.applyUpdate(update.evacuations, now()))
        applyEvacuations(peer.text);
    handleChange(m_directory.applyUpdate(update.registry, now()), peer.text);
}

StateVersions GatewayState::versions() const
{
    return {configVersion(), m_directory.revision(), m_directory.digest(),
            m_evacuations.readRevision(), m_roster.revision};
}

StateUpdate GatewayState::updateSince(const StateVersions &known) const
{
    StateUpdate update;
    if (m_table && m_table->version() > known.config) {
        const auto it =
            std::ranges::find(m_formerTables, known.config,
                              [](const FormerTable &former) { return former.table->version(); });
        if (it != m_formerTables.end())
            update.configChange = computeDelta(it->table->config(), m_table->config());
        if (!update.configChange)
            update.config = m_table->config();
    }
    update.registry = m_directory.updateSince(known.registry, now(), known.registryDigest);
    update.evacuations = m_evacuations.updateSince(known.evacuations, now());
    if (m_roster.revision.isKnown() && m_roster.revision > known.roster)
        update.roster = m_roster;
    return update;
}

void GatewayState::tick()
{
    handleChange(m_directory.expire(now()), "missing-after-outage");
    if (m_evacuations.expire(now()))
        applyEvacuations("missing-after-restore");
    m_streams.dropExpired(now());
    m_crashes.dropExpired(now());
    m_upstreams.limits().dropExpired(now());
    m_upstreams.limitShares().dropExpired(now());
    m_upstreams.backoffs().dropExpired(now());
}

bool GatewayState::isReady() const
{
    if (m_options.followsEvacuations && !m_evacuations.isKnown())
        return false;
    return m_table != nullptr && !m_directory.entries().empty();
}

void GatewayState::handleChange(const UpstreamDirectory::UsableChanges &changed,
                                std::string_view source)
{
    if (changed.added.empty() && changed.withdrawn.empty())
        return;
    for (const UpstreamId &id : changed.added) {
        const UpstreamEntry *entry = m_directory.find(id); // null: removed again in the same batch
        LogLine(LogLevel::Info, "upstream-added")
            .with("upstream", id.text)
            .with("born", id.startedAt)
            .with("service", entry != nullptr ? entry->service.text : "-")
            .with("zone", entry != nullptr ? entry->zone.text : "-")
            .with("version", entry != nullptr ? entry->softwareVersion.text : "-")
            .with("source", source)
            .with("revision", m_directory.revision().number);
    }
    for (const UpstreamId &id : changed.withdrawn) {
        LogLine(LogLevel::Info, "upstream-left")
            .with("upstream", id.text)
            .with("born", id.startedAt)
            .with("source", source)
            .with("revision", m_directory.revision().number);
    }
    m_upstreams.removeUnlisted(m_directory);
    if (m_onChange)
        m_onChange();
    if (m_onUpstreamsWithdrawn && !changed.withdrawn.empty())
        m_onUpstreamsWithdrawn(changed.withdrawn);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/streamarchiver.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/log.h>
#include <reachlead/placement/placementgroups.h>
#include <reachlead/sleep.h>

#include "peer/payload.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// Minimum interval between updates of the known gateways.
constexpr Duration fleetRefreshInterval = milliseconds(500);

/// Interval at which a call looks whether a read that it waits for has ended.
constexpr Duration readPollInterval = milliseconds(5);

/// The store may hold any time; bindings expire within this.
constexpr UnixMillis maxLeftMs =
    std::chrono::duration_cast<milliseconds>(StreamBindings::maxRetention).count();

UnixMillis toUnixMs(Duration d)
{
    return static_cast<UnixMillis>(toMillis(d));
}

} // namespace

StreamArchiver::StreamArchiver(asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                               Counters *counters)
    : m_io(io), m_state(state), m_peers(peers), m_counters(counters)
{
    m_peers.onDatagram({PeerMessageKind::StreamsToStore},
                       [this](PeerMessageKind /*kind*/, std::string_view message,
                              const UdpEndpoint & /*from*/) { handleDatagram(message); });
}

void StreamArchiver::start(StreamArchive *archive)
{
    m_archive = archive;
    asio::co_spawn(m_io, recordLoop(), asio::detached);
}

void StreamArchiver::count(Counter c)
{
    if (m_counters != nullptr)
        m_counters->add(c);
}

UnixMillis StreamArchiver::timeOfDay() const
{
    const UnixMillis now = m_peers.timeOfDay();
    return now > 0 ? now : vmTimeOfDay();
}

// The collector of a service

/// Until heartbeats have had time to arrive, all gateways of the roster count as live.
void StreamArchiver::refreshFleet()
{
    const Time now = RuntimeClock::now();
    if (m_fleetReadAt && now < *m_fleetReadAt + fleetRefreshInterval)
        return;
    m_fleetReadAt = now;
    const bool isYoung = now < m_startedAt + startDelay;
    m_gateways = isYoung ? m_peers.fleet() : m_peers.liveGateways();
    std::map<VmName, MilliCores> cores;
    for (const auto &[vm, entry] : m_gateways)
        cores.emplace(vm, entry.cores);
    m_candidates = strongGateways(cores);
}

std::optional<GatewayEntry> StreamArchiver::collector(const ServiceName &name)
{
    refreshFleet();
    const auto elected = electScheduler({name, 0}, m_candidates);
    if (!elected)
        return std::nullopt;
    return m_gateways.at(*elected);
}

/// This gateway's place in the order of election: 0 is the collector, others up to deputyCount are
/// its deputies.
std::optional<std::size_t> StreamArchiver::collectorRank(const ServiceName &name)
{
    refreshFleet();
    std::set<VmName> before;
    std::optional<std::size_t> rank;
    for (std::size_t n = 0; n <= deputyCount && !rank; ++n) {
        const auto elected = electScheduler({name, 0}, m_candidates);
        if (!elected)
            break;
        if (*elected == m_state.vm())
            rank = n;
        before.insert(m_candidates.extract(*elected));
    }
    m_candidates.merge(before);
    return rank;
}

// Bindings of this gateway

void StreamArchiver::record(const StreamKey &stream, const StreamBinding &binding,
                            Duration retention)
{
    if (m_archive == nullptr)
        return;
    Own &own = m_own[binding.service];
    own.streams.push_back({{stream, binding}, RuntimeClock::now() + retention});
    ++own.unsent;
    if (own.streams.size() > maxHeld) {
        own.streams.pop_front();
        own.unsent = std::min(own.unsent, own.streams.size());
        count(Counter::StreamsEvicted);
    }
    if (!std::exchange(m_isForwarding, true))
        asio::co_spawn(m_io, forwardSoon(), asio::detached);
}

asio::awaitable<void> StreamArchiver::forwardSoon()
{
    co_await sleepFor(m_io, writeInterval / 2);
    m_isForwarding = false;
    const Time now = RuntimeClock::now();
    for (auto &[name, own] : m_own)
        forwardOwn(name, own, now);
    std::erase_if(m_own, [](const auto &it) { return it.second.streams.empty(); });
}

/// Sends new bindings to the collector, and all of them to one that took over.
void StreamArchiver::forwardOwn(const ServiceName &name, Own &own, Time now)
{
    while (own.streams.size() > own.unsent && own.streams.front().expiresAt <= now)
        own.streams.pop_front();
    const std::optional<GatewayEntry> to = collector(name);
    if (!to)
        return;
    if (std::exchange(own.collector, to->vm) != to->vm)
        own.unsent = own.streams.size();
    std::vector<ForwardedStream> unsent;
    std::ranges::transform(
        own.streams | std::views::drop(own.streams.size() - own.unsent), std::back_inserter(unsent),
        [now](const Held &held) {
            const Duration left = std::max<Duration>(held.expiresAt - now, Duration{});
            return ForwardedStream{held.bound, static_cast<std::uint32_t>(toMillis(left))};
        });
    own.unsent = 0;
    if (to->vm == m_state.vm()) {
        for (const ForwardedStream &it : unsent)
            hold(it.bound, milliseconds(it.retentionMs), now);
        return;
    }
    for (std::size_t n = 0; n < unsent.size(); n += maxForwarded) {
        const auto part = unsent | std::views::drop(n) | std::views::take(maxForwarded);
        m_peers.sendTo(to->address, PeerMessageKind::StreamsToStore,
                       pvt::encodePayload(std::vector<ForwardedStream>(part.begin(), part.end())));
    }
}

// Bindings as the collector

void StreamArchiver::handleDatagram(std::string_view message)
{
    std::string reason;
    const auto streams = pvt::decodePayload<std::vector<ForwardedStream>>(message, &reason);
    if (!streams) {
        LogLine(LogLevel::Warn, "peer-datagram-refused").with("reason", reason);
        return;
    }
    const Time now = RuntimeClock::now();
    for (const ForwardedStream &it : *streams)
        hold(it.bound, milliseconds(it.retentionMs), now);
}

void StreamArchiver::hold(const BoundStream &bound, Duration retention, Time now)
{
    std::deque<Held> &held = m_services[bound.binding.service].held;
    held.push_back({bound, now + std::min<Duration>(retention, StreamBindings::maxRetention)});
    if (held.size() > maxHeld) {
        held.pop_front();
        count(Counter::StreamsEvicted);
    }
    m_state.versionReported(bound.binding.service, bound.binding.version);
    startWriting();
}

void StreamArchiver::startWriting()
{
    const bool isNeeded = std::ranges::any_of(m_services, [this](const auto &it) {
        const bool isPending = !it.second.held.empty() || it.second.batches.isChanged();
        return isPending && needsArchive(it.first);
    });
    if (isNeeded && !std::exchange(m_isWriting, true))
        asio::co_spawn(m_io, writeSoon(), asio::detached);
}

/// True unless it is known that the service had a single version.
bool StreamArchiver::needsArchive(const ServiceName &name) const
{
    std::set<SoftwareVersion> versions = m_state.directory().recentVersions(name);
    if (!m_state.directory().knowsRecentVersions(RuntimeClock::now())) {
        std::optional<std::set<SoftwareVersion>> stored = storedVersions(name);
        if (!stored)
            return true;
        versions.merge(*stored);
    }
    return versions.size() > 1;
}

asio::awaitable<void> StreamArchiver::writeSoon()
{
    co_await sleepFor(m_io, writeInterval);
    std::vector<ServiceName> names;
    std::ranges::copy(m_services | std::views::keys, std::back_inserter(names));
    for (const ServiceName &name : names)
        co_await writeBatches(name);
    m_isWriting = false;
}

/// Writes the bindings of a service that were added since the last time. What earlier processes of
/// this VM have written must be known first, as it must not be overwritten.
asio::awaitable<void> StreamArchiver::writeBatches(ServiceName name)
{
    Service &service = m_services[name]; // never erased
    if (!needsArchive(name))
        co_return;
    if (!service.readAt)
        co_await refresh(name);
    if (!service.readAt || !needsArchive(name))
        co_return;
    const Time now = RuntimeClock::now();
    const UnixMillis today = timeOfDay();
    for (const Held &it : service.held) {
        const UnixMillis until = today + toUnixMs(it.expiresAt - now);
        if (!service.batches.add(it.bound, until, today))
            count(Counter::StreamsEvicted);
    }
    service.held.clear();
    const std::set<BatchSlot> changed = service.batches.takeChanged();
    for (const BatchSlot slot : changed) {
        StreamBatch batch = service.batches.batch(slot);
        const bool isWritten = co_await m_archive->write(name, slot, std::move(batch));
        count(isWritten ? Counter::StreamBatchesWritten : Counter::StreamBatchesFailed);
        if (!isWritten)
            service.batches.setChanged(slot);
    }
}

// What is stored

asio::awaitable<void> StreamArchiver::refresh(ServiceName name)
{
    if (m_archive == nullptr)
        co_return;
    Service &service = m_services[name]; // never erased
    const Time startedAt = RuntimeClock::now();
    while (service.isReading && RuntimeClock::now() < startedAt + maxReadWait)
        co_await sleepFor(m_io, readPollInterval);
    const Time now = RuntimeClock::now();
    const bool isFresh = service.readAt && now < *service.readAt + readInterval && isRead(service);
    const bool wasTried = service.triedAt && now < *service.triedAt + readRetryInterval;
    if (service.isReading || isFresh || wasTried)
        co_return;
    service.isReading = true;
    const std::optional<ArchivedService> stored = co_await m_archive->read(name);
    service.isReading = false;
    service.triedAt = RuntimeClock::now();
    count(Counter::StreamArchiveReads);
    if (stored)
        apply(name, *stored, *service.triedAt);
    LogLine(LogLevel::Info, "stream-archive-read")
        .with("service", name.text)
        .with("ok", stored.has_value())
        .with("batches", stored ? stored->batches.size() : 0)
        .with("versions", stored && stored->record ? stored->record->goneAt.size() : 0)
        .with("known", storedVersions(name).has_value());
}

void StreamArchiver::apply(const ServiceName &name, const ArchivedService &stored, Time now)
{
    Service &service = m_services[name];
    if (!service.readAt) {
        for (const auto &[slot, until] : stored.ownSlots)
            service.batches.occupy(slot, until);
    }
    service.readAt = now;
    service.record = stored.record;
    service.recordRevision = stored.recordRevision;
    service.era = stored.era;
    const UnixMillis today = timeOfDay();
    for (const StreamBatch &batch : stored.batches) {
        const UnixMillis leftMs =
            std::min(batch.until + StreamBatches::expiryMarginMs - today, maxLeftMs);
        if (leftMs <= 0)
            continue;
        for (const BoundStream &it : batch.streams) {
            const StreamBindings::Record *known = m_state.streams().find(it.stream, now);
            if (known == nullptr || known->binding.send < it.binding.send)
                m_state.streams().record(it.stream, it.binding, milliseconds(leftMs), now);
        }
    }
}

/// True if all that was stored before this gateway saw the service is known. What happened since
/// then is known to the directory.
bool StreamArchiver::isRead(const Service &service) const
{
    const std::optional<Time> observedSince = m_state.directory().observedSince();
    return service.readAt && observedSince && *observedSince <= *service.readAt;
}

std::optional<std::set<SoftwareVersion>>
StreamArchiver::storedVersions(const ServiceName &name) const
{
    const auto it = m_services.find(name);
    if (it == m_services.end() || !isRead(it->second) || !it->second.record)
        return std::nullopt;
    const UnixMillis today = timeOfDay();
    if (!it->second.record->isComplete(it->second.era, today))
        return std::nullopt;
    return it->second.record->recent(today);
}

// Versions of services

std::set<ServiceName> StreamArchiver::resumableServices() const
{
    std::set<ServiceName> names;
    if (!m_state.table())
        return names;
    for (const Route &route : m_state.table()->config().routes) {
        if (route.kind != RouteKind::Stream || !route.resumable)
            continue;
        std::ranges::transform(route.services, std::inserter(names, names.end()),
                               &ServiceShare::service);
    }
    return names;
}

std::set<SoftwareVersion> StreamArchiver::servingVersions(const ServiceName &name) const
{
    std::set<SoftwareVersion> versions;
    for (const UpstreamEntry &entry : m_state.directory().entries() | std::views::values) {
        if (entry.service == name)
            versions.insert(entry.softwareVersion);
    }
    return versions;
}

/// Bindings that are held become worth storing as a second version appears, and a failed write is
/// repeated.
asio::awaitable<void> StreamArchiver::recordLoop()
{
    co_await sleepFor(m_io, startDelay);
    while (!m_peers.isStopped()) {
        const std::set<ServiceName> names = resumableServices();
        for (const ServiceName &name : names) {
            const std::optional<std::size_t> rank = collectorRank(name);
            if (rank == 0)
                co_await writeRecord(name);
            else if (rank)
                co_await writeAsDeputy(name, *rank);
        }
        const Time now = RuntimeClock::now();
        for (Service &service : m_services | std::views::values)
            std::erase_if(service.held, [now](const Held &it) { return it.expiresAt <= now; });
        startWriting();
        co_await m_archive->removeExpired();
        co_await sleepFor(m_io, recordInterval);
    }
}

/// The record to be stored, which equals the known one if nothing has changed.
VersionRecord StreamArchiver::nextRecord(const Service &service, const ServiceName &name) const
{
    return VersionRecord::next(service.record, m_state.directory().revision().era,
                               servingVersions(name), m_state.directory().recentVersions(name),
                               timeOfDay());
}

/// Stores the versions of a service if the record is still outdated after the time that is left to
/// the gateways before this one. One of them may have stored it, so it is read first.
asio::awaitable<void> StreamArchiver::writeAsDeputy(ServiceName name, std::size_t rank)
{
    Service &service = m_services[name]; // never erased
    const auto isOutdated = [&] {
        return !isRead(service) || service.record != nextRecord(service, name);
    };
    if (!isOutdated()) {
        service.outdatedSince.reset();
        co_return;
    }
    const Time now = RuntimeClock::now();
    const Time since = service.outdatedSince.value_or(now);
    service.outdatedSince = since;
    if (now < since + static_cast<int>(rank) * deputyDelay)
        co_return;
    co_await refresh(name);
    if (isRead(service) && isOutdated())
        co_await writeRecord(name);
}

/// Stores the versions of a service if they differ from the stored ones.
asio::awaitable<void> StreamArchiver::writeRecord(ServiceName name)
{
    Service &service = m_services[name]; // never erased
    const std::uint64_t era = m_state.directory().revision().era;
    if (!m_state.directory().revision().isKnown())
        co_return;
    if (!isRead(service) || service.era != era)
        co_await refresh(name);
    if (!isRead(service) || service.era != era)
        co_return;
    VersionRecord next = nextRecord(service, name);
    if (service.record == next)
        co_return;
    const StoreRevision replaces = service.recordRevision;
    const std::optional<StoreRevision> written = co_await m_archive->write(name, next, replaces);
    LogLine(LogLevel::Info, "stream-versions-stored")
        .with("service", name.text)
        .with("versions", next.goneAt.size())
        .with("ok", written.has_value());
    const bool isOfThisEra = written && written->era == era;
    if (isOfThisEra) {
        service.record = std::move(next);
        service.recordRevision = *written;
    } else {
        service.readAt.reset(); // another gateway may have written it
    }
}

} // namespace reachlead

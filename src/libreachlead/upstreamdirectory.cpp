// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamdirectory.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace reachlead {

namespace {

/// Interval at which the versions of all entries are recorded as seen.
constexpr Duration versionInterval = seconds(10);

} // namespace

UpstreamHash upstreamHash(const UpstreamId &id)
{
    const std::uint64_t seed = XXH64(&id.startedAt, sizeof id.startedAt, 0);
    return XXH32(id.text.data(), id.text.size(), static_cast<XXH32_hash_t>(seed));
}

bool hasSameContent(const UpstreamEntry &first, const UpstreamEntry &second)
{
    const auto content = [](const UpstreamEntry &entry) {
        return std::tie(entry.id, entry.service, entry.address.address, entry.address.port,
                        entry.zone, entry.slots, entry.leaving, entry.coldLeftMs,
                        entry.softwareVersion);
    };
    return content(first) == content(second);
}

/// In a new era, entries may be missing until their upstreams write them again.
void UpstreamDirectory::prepareForEra(std::uint64_t era, Time now)
{
    if (!m_revision.isKnown() || era == m_revision.era)
        return;
    m_catchesUp = true;
    m_graceUntil = std::max(m_graceUntil, now + reregistrationGrace);
}

/// Advances to the revision of a whole list, or of another era. Entries that were added and removed
/// since the previous revision are not known then, so no changes can be sent across the list: a
/// directory that knows such an entry would keep it.
void UpstreamDirectory::advanceToList(StoreRevision revision)
{
    if (revision != m_revision)
        m_logFloor = revision;
    m_revision = revision;
}

void UpstreamDirectory::putAll(const std::vector<UpstreamEntry> &entries, Time now,
                               const HeldUntil &held, UsableChanges *changed)
{
    std::set<std::string> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.id.text);
        withholdRemoved(entry, now, changed);
        put(entry, now, changed);
    }
    std::vector<UpstreamId> absent;
    std::ranges::copy_if(m_entries | std::views::keys, std::back_inserter(absent),
                         [&](const UpstreamId &id) { return !listed.contains(id.text); });
    for (const UpstreamId &id : absent)
        remove(id, now, held, changed);
}

void UpstreamDirectory::putChanges(const std::vector<UpstreamChange> &changes, Time now,
                                   const HeldUntil &held, UsableChanges *changed)
{
    for (const UpstreamChange &change : changes) {
        if (change.removed)
            remove(change.entry.id, now, held, changed);
        else
            putChanged(change.entry, now, changed);
    }
}

/// Puts an entry that its upstream has just written, so it is not one of a restored copy.
void UpstreamDirectory::putChanged(const UpstreamEntry &entry, Time now, UsableChanges *changed)
{
    m_removed.erase(entry.id);
    put(entry, now, changed);
    release(entry.id, changed);
}

UpstreamDirectory::UsableChanges
UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, StoreRevision revision,
                              Time now)
{
    UsableChanges changed;
    if (revision < m_revision)
        return changed;
    prepareForEra(revision.era, now);
    advanceToList(revision);
    putAll(entries, now, {}, &changed);
    m_catchesUp = false;
    return changed;
}

UpstreamDirectory::UsableChanges
UpstreamDirectory::applyChanges(const std::vector<UpstreamChange> &changes, StoreRevision revision,
                                Time now)
{
    UsableChanges changed;
    if (revision < m_revision)
        return changed;
    m_revision = revision;
    putChanges(changes, now, {}, &changed);
    m_catchesUp = false;
    return changed;
}

RegistryUpdate UpstreamDirectory::updateSince(StoreRevision revision, Time now,
                                              std::uint64_t digest) const
{
    RegistryUpdate update;
    update.revision = m_revision;
    if (m_revision <= revision)
        return update;
    const auto leftMs = [now](Time until) {
        return static_cast<std::int32_t>(toMillis(std::max(until - now, Duration{})));
    };
    for (const auto &[id, until] : m_missing)
        update.held.push_back({m_entries.at(id), leftMs(until)});
    for (const auto &[id, until] : m_withheld)
        update.withheld.push_back({id, leftMs(until)});
    if (auto changes = changesSince(revision)) {
        update.changesFrom = revision;
        update.changes = std::move(*changes);
        return update;
    }
    if (revision.isKnown() && digest == this->digest()) {
        update.changesFrom = revision;
        return update;
    }
    update.snapshot = registered();
    return update;
}

std::uint64_t UpstreamDirectory::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[id, entry] : m_entries) {
        if (m_missing.contains(id))
            continue;
        const std::array<std::uint64_t, 3> numbers{id.startedAt, entry.revision.era,
                                                   entry.revision.number};
        const std::uint64_t seed = XXH64(numbers.data(), sizeof numbers, 0);
        digest ^= XXH64(id.text.data(), id.text.size(), seed);
    }
    return digest;
}

UpstreamDirectory::UsableChanges UpstreamDirectory::applyUpdate(const RegistryUpdate &update,
                                                                Time now)
{
    UsableChanges changed;
    const bool isApplicable =
        update.snapshot || (m_revision.isKnown() && update.changesFrom <= m_revision);
    if (update.revision <= m_revision || !isApplicable)
        return changed;
    const bool catchesUp = m_catchesUp;
    prepareForEra(update.revision.era, now);
    // Without changes, the sender's digest may be the same, while its changes are not known.
    const bool isGap = update.changes.empty() || update.revision.era != m_revision.era;
    if (update.snapshot || isGap)
        advanceToList(update.revision);
    m_revision = update.revision;
    HeldUntil held;
    for (const HeldUpstream &it : update.held) {
        const Duration left =
            std::clamp<Duration>(milliseconds(it.leftMs), {}, reregistrationGrace);
        held.emplace(it.entry.id, now + left);
        const bool isKnown = m_entries.contains(it.entry.id) || m_removed.contains(it.entry.id);
        if (update.snapshot && !isKnown)
            put(it.entry, now, &changed); // not listed, so putAll() removes it with a hold
    }
    if (update.snapshot)
        putAll(*update.snapshot, now, held, &changed);
    else
        putChanges(update.changes, now, held, &changed);
    for (const WithheldUpstream &it : update.withheld) {
        const Duration left = std::clamp<Duration>(milliseconds(it.leftMs), {}, restoredEntryHold);
        withhold(it.id, now + left, &changed);
    }
    m_catchesUp = catchesUp;
    return changed;
}

std::vector<UpstreamId> UpstreamDirectory::missing() const
{
    std::vector<UpstreamId> ids;
    std::ranges::copy(m_missing | std::views::keys, std::back_inserter(ids));
    return ids;
}

UpstreamDirectory::UsableChanges UpstreamDirectory::setEvacuated(const ZoneSet &zones)
{
    UsableChanges changed;
    const ZoneSet before = std::exchange(m_evacuated, zones);
    ++m_changeCount;
    for (const auto &[id, entry] : m_entries) {
        const bool was = before.contains(entry.zone);
        const bool is = zones.contains(entry.zone);
        if (was != is && !isLeaving(entry))
            (is ? changed.withdrawn : changed.added).push_back(id);
    }
    return changed;
}

UpstreamDirectory::UsableChanges UpstreamDirectory::setLeaving(const UpstreamId &id, Time now)
{
    UsableChanges changed;
    const UpstreamEntry *entry = find(id);
    const bool tookWork = entry != nullptr && takesWork(*entry);
    if (!m_leaving.add(id, now) || !tookWork)
        return changed;
    ++m_changeCount;
    changed.withdrawn.push_back(id);
    return changed;
}

void UpstreamDirectory::lostContact()
{
    m_inContact = false;
}

void UpstreamDirectory::regainedContact(Time now)
{
    if (m_inContact)
        return;
    m_inContact = true;
    m_catchesUp = m_wasInContact;
    if (m_wasInContact)
        m_graceUntil = now + reregistrationGrace;
    m_wasInContact = true;
}

UpstreamDirectory::UsableChanges UpstreamDirectory::expire(Time now)
{
    UsableChanges changed;
    recordVersions(now);
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const UpstreamId id = it->first;
        it = m_missing.erase(it);
        m_removed.insert_or_assign(id, Removal{m_revision, now, m_leaving.contains(id)});
        erase(id);
        changed.withdrawn.push_back(id);
    }
    std::vector<UpstreamId> released;
    for (const auto &[id, until] : m_withheld) {
        if (until <= now)
            released.push_back(id);
    }
    std::ranges::for_each(released, [&](const UpstreamId &id) { release(id, &changed); });
    std::erase_if(m_removed,
                  [now](const auto &it) { return it.second.at + removalRetention <= now; });
    m_leaving.dropExpired(now, [this](const UpstreamId &id) { return m_entries.contains(id); });
    return changed;
}

const UpstreamEntry *UpstreamDirectory::find(const UpstreamId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

void UpstreamDirectory::buildIndex() const
{
    if (m_indexedAt == m_changeCount)
        return;
    m_usable.clear();
    m_byHash.clear();
    for (const UpstreamEntry &entry : m_entries | std::views::values) {
        m_byHash[upstreamHash(entry.id)] = &entry;
        if (takesWork(entry))
            m_usable[entry.service].push_back(&entry);
    }
    m_indexedAt = m_changeCount;
}

const std::vector<const UpstreamEntry *> &
UpstreamDirectory::usableUpstreams(const ServiceName &service) const
{
    static const std::vector<const UpstreamEntry *> none;
    buildIndex();
    const auto it = m_usable.find(service);
    return it == m_usable.end() ? none : it->second;
}

std::set<SoftwareVersion> UpstreamDirectory::recentVersions(const ServiceName &service) const
{
    std::set<SoftwareVersion> versions;
    if (const auto it = m_versions.find(service); it != m_versions.end())
        std::ranges::copy(it->second | std::views::keys, std::inserter(versions, versions.end()));
    return versions;
}

/// Records the versions of all entries as seen, and forgets those not seen within versionRetention.
void UpstreamDirectory::recordVersions(Time now)
{
    if (now < m_versionsRecordedAt + versionInterval)
        return;
    m_versionsRecordedAt = now;
    for (const UpstreamEntry &entry : m_entries | std::views::values)
        m_versions[entry.service][entry.softwareVersion] = now;
    for (auto &versions : m_versions | std::views::values) {
        std::erase_if(versions, [now](const auto &it) {
            return it.second + versionRetention + versionInterval < now;
        });
    }
    std::erase_if(m_versions, [](const auto &it) { return it.second.empty(); });
}

const UpstreamEntry *UpstreamDirectory::findByHash(UpstreamHash hash) const
{
    buildIndex();
    const auto it = m_byHash.find(hash);
    return it == m_byHash.end() ? nullptr : it->second;
}

void UpstreamDirectory::log(const UpstreamId &id)
{
    m_log.push_back({m_revision, id});
    if (m_log.size() <= maxLoggedChanges)
        return;
    m_logFloor = m_log.front().revision;
    m_log.pop_front();
}

std::optional<std::vector<UpstreamChange>>
UpstreamDirectory::changesSince(StoreRevision revision) const
{
    if (!m_revision.isKnown() || revision < m_logFloor)
        return std::nullopt;
    std::set<std::string> names;
    for (const LoggedChange &change : m_log) {
        if (change.revision > revision)
            names.insert(change.id.text);
    }
    std::vector<UpstreamChange> changes;
    for (const std::string &name : names) {
        UpstreamChange change;
        change.entry.id = UpstreamId(name);
        const UpstreamEntry *entry = findByName(name);
        change.removed = entry == nullptr || m_missing.contains(entry->id);
        if (!change.removed)
            change.entry = *entry;
        changes.push_back(std::move(change));
    }
    return changes;
}

std::vector<UpstreamEntry> UpstreamDirectory::registered() const
{
    std::vector<UpstreamEntry> entries;
    std::ranges::copy_if(m_entries | std::views::values, std::back_inserter(entries),
                         [&](const UpstreamEntry &it) { return !m_missing.contains(it.id); });
    return entries;
}

void UpstreamDirectory::erase(const UpstreamId &id)
{
    ++m_changeCount;
    m_entries.erase(id);
    m_withheld.erase(id);
}

void UpstreamDirectory::withhold(const UpstreamId &id, Time until, UsableChanges *changed)
{
    const UpstreamEntry *entry = find(id);
    const bool tookWork = entry != nullptr && takesWork(*entry);
    if (!m_withheld.emplace(id, until).second)
        return;
    ++m_changeCount;
    if (tookWork)
        changed->withdrawn.push_back(id);
}

void UpstreamDirectory::release(const UpstreamId &id, UsableChanges *changed)
{
    if (m_withheld.erase(id) == 0)
        return;
    ++m_changeCount;
    if (const UpstreamEntry *entry = find(id); entry != nullptr && takesWork(*entry))
        changed->added.push_back(id);
}

/// Withholds a listed upstream whose entry was removed in an earlier era.
void UpstreamDirectory::withholdRemoved(const UpstreamEntry &entry, Time now,
                                        UsableChanges *changed)
{
    const auto it = m_removed.find(entry.id);
    if (it == m_removed.end())
        return;
    const Removal removal = it->second;
    m_removed.erase(it);
    if (removal.revision.era == m_revision.era)
        return;
    if (removal.wasLeaving)
        m_leaving.add(entry.id, now);
    withhold(entry.id, now + restoredEntryHold, changed);
}

/// Keeps an upstream out of use that was known to leave, if its entry in a new era is from before.
void UpstreamDirectory::keepLeaving(const UpstreamEntry &known, const UpstreamEntry &entry,
                                    Time now)
{
    if (known.leaving && !entry.leaving && known.revision.era < entry.revision.era)
        m_leaving.add(entry.id, now);
}

/// The known incarnation of an upstream; null if there is none.
const UpstreamEntry *UpstreamDirectory::findByName(const std::string &name) const
{
    const auto it = m_entries.lower_bound(UpstreamId(name));
    return it != m_entries.end() && it->first.text == name ? &it->second : nullptr;
}

/// Removes the known incarnation if the entry's is newer; false if the entry's is older.
bool UpstreamDirectory::supersede(const UpstreamEntry &entry, UsableChanges *changed)
{
    const UpstreamEntry *known = findByName(entry.id.text);
    if (known == nullptr || known->id == entry.id)
        return true;
    const bool bothKnown = known->id.startedAt > 0 && entry.id.startedAt > 0;
    if (bothKnown ? entry.id.startedAt < known->id.startedAt : entry.revision < known->revision)
        return false;
    const UpstreamId superseded = known->id;
    m_missing.erase(superseded);
    erase(superseded);
    changed->withdrawn.push_back(superseded);
    return true;
}

void UpstreamDirectory::put(const UpstreamEntry &entry, Time now, UsableChanges *changed)
{
    if (!supersede(entry, changed))
        return;
    const bool wasHeld = m_missing.erase(entry.id) > 0;
    const auto [it, isNew] = m_entries.try_emplace(entry.id, entry);
    if (wasHeld)
        log(entry.id);
    if (entry.revision < it->second.revision)
        return; // from a page that was read before the known change
    // A list of a new era has all entries under new revisions, though most did not change.
    const bool isNewEra = entry.revision.era != it->second.revision.era;
    if (!isNew && isNewEra && hasSameContent(entry, it->second)) {
        it->second.revision = entry.revision;
        return;
    }
    if (isNew || entry.revision > it->second.revision)
        log(entry.id);
    ++m_changeCount;
    const bool wasLeaving = !isNew && it->second.leaving;
    keepLeaving(it->second, entry, now);
    it->second = entry;
    m_versions[entry.service][entry.softwareVersion] = now;
    if (isNew && !entry.leaving && !m_withheld.contains(entry.id))
        changed->added.push_back(entry.id);
    if (entry.leaving && !wasLeaving)
        changed->withdrawn.push_back(entry.id);
}

/// The end of the hold of an entry that is missing in the registry, after this directory's own
/// outage or because another one holds it by \p held; empty if it is removed at once.
std::optional<Time> UpstreamDirectory::heldUntil(const UpstreamEntry &entry, Time now,
                                                 const HeldUntil &held) const
{
    if (entry.leaving)
        return std::nullopt;
    if (const auto it = held.find(entry.id); it != held.end() && it->second > now)
        return it->second;
    return isHoldingRemovals(now) ? std::optional(m_graceUntil) : std::nullopt;
}

void UpstreamDirectory::remove(const UpstreamId &id, Time now, const HeldUntil &held,
                               UsableChanges *changed)
{
    const UpstreamEntry *known = findByName(id.text);
    if (known == nullptr) {
        log(id); // it was added and removed between two received updates: others may know it
        return;
    }
    const UpstreamId knownId = known->id;
    if (m_missing.contains(knownId))
        return; // already held after an earlier removal
    log(knownId);
    if (const auto until = heldUntil(*known, now, held)) {
        m_missing.emplace(knownId, *until);
        return;
    }
    m_removed.insert_or_assign(knownId, Removal{m_revision, now, isLeaving(*known)});
    erase(knownId);
    changed->withdrawn.push_back(knownId);
}

} // namespace reachlead

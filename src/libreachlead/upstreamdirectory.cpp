// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamdirectory.h>

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include <xxhash.h>

namespace reachlead {

UpstreamHash upstreamHash(const UpstreamId &id)
{
    const std::uint64_t life = XXH64(&id.startedAt, sizeof id.startedAt, 0);
    return XXH32(id.text.data(), id.text.size(), static_cast<XXH32_hash_t>(life));
}

/// Moves on to a whole list's revision. What came and went behind the last one is unknown then, so
/// that no changes can be told across it: a directory that knows such an entry would keep it.
void UpstreamDirectory::jumpTo(std::uint64_t revision)
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
        put(entry, changed);
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
            put(change.entry, changed);
    }
}

UpstreamDirectory::UsableChanges
UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries, std::uint64_t revision,
                              Time now)
{
    UsableChanges changed;
    if (revision < m_revision)
        return changed;
    jumpTo(revision);
    putAll(entries, now, {}, &changed);
    m_catchesUp = false;
    return changed;
}

UpstreamDirectory::UsableChanges
UpstreamDirectory::applyChanges(const std::vector<UpstreamChange> &changes, std::uint64_t revision,
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

RegistryUpdate UpstreamDirectory::updateSince(std::uint64_t revision, Time now,
                                              std::uint64_t digest) const
{
    RegistryUpdate news;
    news.revision = m_revision;
    if (m_revision <= revision)
        return news;
    for (const auto &[id, until] : m_missing) {
        const auto left = static_cast<std::int32_t>(toMillis(std::max(until - now, Duration{})));
        news.held.push_back({m_entries.at(id), left});
    }
    if (auto changes = changesSince(revision)) {
        news.changesFrom = revision;
        news.changes = std::move(*changes);
        return news;
    }
    if (revision > 0 && digest == this->digest()) {
        news.changesFrom = revision;
        return news;
    }
    news.snapshot = registered();
    return news;
}

std::uint64_t UpstreamDirectory::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[id, entry] : m_entries) {
        if (m_missing.contains(id))
            continue;
        const std::uint64_t life = XXH64(&id.startedAt, sizeof id.startedAt, entry.revision);
        digest ^= XXH64(id.text.data(), id.text.size(), life);
    }
    return digest;
}

UpstreamDirectory::UsableChanges UpstreamDirectory::applyUpdate(const RegistryUpdate &news,
                                                                Time now)
{
    UsableChanges changed;
    const bool fits = news.snapshot || (m_revision > 0 && news.changesFrom <= m_revision);
    if (news.revision <= m_revision || !fits)
        return changed;
    if (news.snapshot)
        jumpTo(news.revision);
    m_revision = news.revision;
    HeldUntil held;
    for (const HeldUpstream &it : news.held) {
        const Duration left =
            std::clamp<Duration>(milliseconds(it.leftMs), {}, reregistrationGrace);
        held.emplace(it.entry.id, now + left);
        if (news.snapshot && !m_entries.contains(it.entry.id))
            put(it.entry, &changed); // taken for absent below, and so held
    }
    if (news.snapshot)
        putAll(*news.snapshot, now, held, &changed);
    else
        putChanges(news.changes, now, held, &changed);
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
    ++m_changes;
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
    ++m_changes;
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
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        erase(it->first);
        changed.withdrawn.push_back(it->first);
        it = m_missing.erase(it);
    }
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
    if (m_indexedAt == m_changes)
        return;
    m_usable.clear();
    m_byTag.clear();
    for (const UpstreamEntry &entry : m_entries | std::views::values) {
        m_byTag[upstreamHash(entry.id)] = &entry;
        if (takesWork(entry))
            m_usable[entry.service].push_back(&entry);
    }
    m_indexedAt = m_changes;
}

const std::vector<const UpstreamEntry *> &
UpstreamDirectory::usableUpstreams(const ServiceName &service) const
{
    static const std::vector<const UpstreamEntry *> none;
    buildIndex();
    const auto it = m_usable.find(service);
    return it == m_usable.end() ? none : it->second;
}

const UpstreamEntry *UpstreamDirectory::findByHash(UpstreamHash tag) const
{
    buildIndex();
    const auto it = m_byTag.find(tag);
    return it == m_byTag.end() ? nullptr : it->second;
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
UpstreamDirectory::changesSince(std::uint64_t revision) const
{
    if (m_revision == 0 || revision < m_logFloor)
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
        const UpstreamEntry *entry = lifeOf(name);
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
    ++m_changes;
    m_entries.erase(id);
}

/// The life of an upstream that is known; null when there is none.
const UpstreamEntry *UpstreamDirectory::lifeOf(const std::string &name) const
{
    const auto it = m_entries.lower_bound(UpstreamId(name));
    return it != m_entries.end() && it->first.text == name ? &it->second : nullptr;
}

/// Makes room for a life that is newer than the known one, which is gone; false for an older life.
bool UpstreamDirectory::supersedes(const UpstreamEntry &entry, UsableChanges *changed)
{
    const UpstreamEntry *known = lifeOf(entry.id.text);
    if (known == nullptr || known->id == entry.id)
        return true;
    const bool bothTold = known->id.startedAt > 0 && entry.id.startedAt > 0;
    if (bothTold ? entry.id.startedAt < known->id.startedAt : entry.revision < known->revision)
        return false;
    const UpstreamId gone = known->id;
    m_missing.erase(gone);
    erase(gone);
    changed->withdrawn.push_back(gone);
    return true;
}

void UpstreamDirectory::put(const UpstreamEntry &entry, UsableChanges *changed)
{
    if (!supersedes(entry, changed))
        return;
    const bool wasHeld = m_missing.erase(entry.id) > 0;
    const auto [it, fresh] = m_entries.try_emplace(entry.id, entry);
    if (wasHeld)
        log(entry.id);
    if (entry.revision < it->second.revision)
        return; // a page that was read before the change that is known
    if (fresh || entry.revision > it->second.revision)
        log(entry.id);
    ++m_changes;
    const bool wasLeaving = !fresh && it->second.leaving;
    it->second = entry;
    if (fresh && !entry.leaving)
        changed->added.push_back(entry.id);
    if (entry.leaving && !wasLeaving)
        changed->withdrawn.push_back(entry.id);
}

/// How long an entry that the registry lacks is used, by this directory's own outage or by what
/// another one \p held; nothing: it is gone.
std::optional<Time> UpstreamDirectory::heldUntil(const UpstreamEntry &entry, Time now,
                                                 const HeldUntil &held) const
{
    if (entry.leaving)
        return std::nullopt;
    if (const auto it = held.find(entry.id); it != held.end() && it->second > now)
        return it->second;
    return holdsRemovals(now) ? std::optional(m_graceUntil) : std::nullopt;
}

void UpstreamDirectory::remove(const UpstreamId &id, Time now, const HeldUntil &held,
                               UsableChanges *changed)
{
    const UpstreamEntry *known = lifeOf(id.text);
    if (known == nullptr) {
        log(id); // it came and went between two changes that were told: others may know it
        return;
    }
    const UpstreamId life = known->id;
    if (m_missing.contains(life))
        return; // its removal was taken before
    log(life);
    if (const auto until = heldUntil(*known, now, held)) {
        m_missing.emplace(life, *until);
        return;
    }
    erase(life);
    changed->withdrawn.push_back(life);
}

} // namespace reachlead

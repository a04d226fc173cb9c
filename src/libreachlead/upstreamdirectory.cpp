// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamdirectory.h>

#include <algorithm>
#include <ranges>
#include <set>

#include <xxhash.h>

namespace reachlead {

UpstreamTagNumber tagOf(const UpstreamId &id)
{
    return XXH32(id.text.data(), id.text.size(), 0);
}

UpstreamDirectory::Changed UpstreamDirectory::replaceAll(const std::vector<UpstreamEntry> &entries,
                                                         std::uint64_t revision, Time now)
{
    Changed changed;
    if (revision < m_revision)
        return changed;
    if (m_revision == 0)
        m_logFloor = revision;
    m_revision = revision;
    std::set<UpstreamId> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.id);
        put(entry, &changed);
    }
    std::vector<UpstreamId> absent;
    std::ranges::copy_if(m_entries | std::views::keys, std::back_inserter(absent),
                         [&](const UpstreamId &id) { return !listed.contains(id); });
    for (const UpstreamId &id : absent)
        remove(id, now, &changed);
    return changed;
}

UpstreamDirectory::Changed UpstreamDirectory::apply(const std::vector<UpstreamChange> &changes,
                                                    std::uint64_t revision, Time now)
{
    Changed changed;
    if (revision < m_revision)
        return changed;
    m_revision = revision;
    for (const UpstreamChange &change : changes) {
        if (change.removed)
            remove(change.entry.id, now, &changed);
        else
            put(change.entry, &changed);
    }
    return changed;
}

void UpstreamDirectory::markMissing(const std::vector<UpstreamId> &ids, Time now)
{
    for (const UpstreamId &id : ids) {
        if (m_entries.contains(id))
            m_missing.try_emplace(id, now + returnGrace);
    }
}

std::vector<UpstreamId> UpstreamDirectory::missing() const
{
    std::vector<UpstreamId> ids;
    std::ranges::copy(m_missing | std::views::keys, std::back_inserter(ids));
    return ids;
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
    if (m_wasInContact)
        m_graceUntil = now + returnGrace;
    m_wasInContact = true;
}

UpstreamDirectory::Changed UpstreamDirectory::expire(Time now)
{
    Changed changed;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        erase(it->first);
        changed.left.push_back(it->first);
        it = m_missing.erase(it);
    }
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
        m_byTag[tagOf(entry.id)] = &entry;
        if (!entry.leaving)
            m_usable[entry.service].push_back(&entry);
    }
    m_indexedAt = m_changes;
}

const std::vector<const UpstreamEntry *> &
UpstreamDirectory::usableOf(const ServiceName &service) const
{
    static const std::vector<const UpstreamEntry *> none;
    buildIndex();
    const auto it = m_usable.find(service);
    return it == m_usable.end() ? none : it->second;
}

const UpstreamEntry *UpstreamDirectory::findTag(UpstreamTagNumber tag) const
{
    buildIndex();
    const auto it = m_byTag.find(tag);
    return it == m_byTag.end() ? nullptr : it->second;
}

void UpstreamDirectory::log(const UpstreamId &id)
{
    m_log.push_back({m_revision, id});
    if (m_log.size() <= mostLogged)
        return;
    m_logFloor = m_log.front().revision;
    m_log.pop_front();
}

std::optional<std::vector<UpstreamChange>>
UpstreamDirectory::changesSince(std::uint64_t revision) const
{
    if (m_revision == 0 || revision < m_logFloor)
        return std::nullopt;
    std::set<UpstreamId> ids;
    for (const LoggedChange &change : m_log) {
        if (change.revision > revision)
            ids.insert(change.id);
    }
    std::vector<UpstreamChange> changes;
    for (const UpstreamId &id : ids) {
        UpstreamChange change;
        const UpstreamEntry *entry = find(id);
        change.removed = entry == nullptr;
        if (entry != nullptr)
            change.entry = *entry;
        change.entry.id = id;
        changes.push_back(std::move(change));
    }
    return changes;
}

void UpstreamDirectory::erase(const UpstreamId &id)
{
    ++m_changes;
    log(id);
    m_entries.erase(id);
}

void UpstreamDirectory::put(const UpstreamEntry &entry, Changed *changed)
{
    m_missing.erase(entry.id);
    const auto [it, fresh] = m_entries.try_emplace(entry.id, entry);
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
        changed->left.push_back(entry.id);
}

void UpstreamDirectory::remove(const UpstreamId &id, Time now, Changed *changed)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    if (holdsRemovals(now) && !it->second.leaving) {
        m_missing.try_emplace(id, m_graceUntil);
        return;
    }
    m_missing.erase(id);
    erase(id);
    changed->left.push_back(id);
}

} // namespace reachlead

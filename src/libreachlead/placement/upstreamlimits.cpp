// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/upstreamlimits.h>

#include <algorithm>

namespace reachlead {

void UpstreamLimits::assign(Entry *entry, std::optional<CallRate> limit, Time now,
                            UnixMillis timestamp)
{
    if (limit != entry->limit)
        entry->changedAt = now;
    entry->limit = limit;
    entry->timestamp = timestamp;
    entry->receivedAt = now;
}

bool UpstreamLimits::recordAnswer(const UpstreamId &id, std::optional<CallRate> limit, Time now,
                                  UnixMillis timestamp)
{
    const std::optional<CallRate> before = currentLimit(id, now);
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        if (limit)
            m_entries.emplace(id, Entry{limit, timestamp, now, now});
        return limit.has_value();
    }
    Entry &entry = it->second;
    const bool isSettledEnd = !limit && !entry.limit && entry.changedAt + endRenewalWindow <= now;
    if (!isSettledEnd)
        assign(&entry, limit, now, std::max(timestamp, entry.timestamp + 1));
    return limit != before;
}

bool UpstreamLimits::applyUpdate(const LimitUpdate &update, Time now)
{
    const std::optional<CallRate> before = currentLimit(update.upstream, now);
    const auto [it, isNew] =
        m_entries.try_emplace(update.upstream, Entry{update.limit, update.timestamp, now, now});
    if (!isNew && update.timestamp > it->second.timestamp)
        assign(&it->second, update.limit, now, update.timestamp);
    return currentLimit(update.upstream, now) != before;
}

std::optional<CallRate> UpstreamLimits::currentLimit(const UpstreamId &id, Time now) const
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.receivedAt + forgetAfter <= now)
        return std::nullopt;
    return it->second.limit;
}

std::vector<LimitUpdate> UpstreamLimits::recent(Time now) const
{
    std::vector<LimitUpdate> updates;
    for (const auto &[id, entry] : m_entries) {
        if (entry.receivedAt + reportWindow > now)
            updates.push_back({id, entry.limit, entry.timestamp});
    }
    return updates;
}

void UpstreamLimits::dropExpired(Time now)
{
    std::erase_if(m_entries,
                  [&](const auto &it) { return it.second.receivedAt + forgetAfter <= now; });
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/upstreamlimits.h>

#include <algorithm>

namespace reachlead {

void UpstreamLimits::take(Heard *known, std::optional<CallRate> limit, Time now, UnixMillis stamp)
{
    if (limit != known->limit)
        known->changedAt = now;
    known->limit = limit;
    known->stamp = stamp;
    known->at = now;
}

bool UpstreamLimits::recordAnswer(const UpstreamId &id, std::optional<CallRate> limit, Time now,
                                  UnixMillis stamp)
{
    const std::optional<CallRate> before = currentLimit(id, now);
    const auto it = m_heard.find(id);
    if (it == m_heard.end()) {
        if (limit)
            m_heard.emplace(id, Heard{limit, stamp, now, now});
        return limit.has_value();
    }
    Heard &known = it->second;
    const bool isOldEnd = !limit && !known.limit && known.changedAt + endSpan <= now;
    if (!isOldEnd)
        take(&known, limit, now, std::max(stamp, known.stamp + 1));
    return limit != before;
}

bool UpstreamLimits::applyUpdate(const LimitUpdate &note, Time now)
{
    const std::optional<CallRate> before = currentLimit(note.upstream, now);
    const auto [it, isNew] =
        m_heard.try_emplace(note.upstream, Heard{note.limit, note.timestamp, now, now});
    if (!isNew && note.timestamp > it->second.stamp)
        take(&it->second, note.limit, now, note.timestamp);
    return currentLimit(note.upstream, now) != before;
}

std::optional<CallRate> UpstreamLimits::currentLimit(const UpstreamId &id, Time now) const
{
    const auto it = m_heard.find(id);
    if (it == m_heard.end() || it->second.at + forgetAfter <= now)
        return std::nullopt;
    return it->second.limit;
}

std::vector<LimitUpdate> UpstreamLimits::recent(Time now) const
{
    std::vector<LimitUpdate> notes;
    for (const auto &[id, known] : m_heard) {
        if (known.at + tellSpan > now)
            notes.push_back({id, known.limit, known.stamp});
    }
    return notes;
}

void UpstreamLimits::dropExpired(Time now)
{
    std::erase_if(m_heard, [&](const auto &it) { return it.second.at + forgetAfter <= now; });
}

} // namespace reachlead

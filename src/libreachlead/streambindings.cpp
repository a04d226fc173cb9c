// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streambindings.h>

#include <algorithm>

#include "fieldhash.h"

namespace reachlead {

StreamKey computeStreamKey(const AccountName &account, std::string_view attemptId)
{
    const auto words = pvt::hashFields({account.text, attemptId});
    return {words[0], words[1]};
}

bool StreamBindings::record(const StreamKey &stream, const StreamBinding &binding,
                            Duration retention, Time now)
{
    dropExpired(now);
    if (const Record *known = find(stream, now); known && known->binding.send > binding.send)
        return true;
    erase(stream);
    bool hadRoom = true;
    if (m_records.size() >= maxRecords) {
        hadRoom = false;
        erase(m_byExpiry.begin()->second);
    }
    const Time expiresAt = now + std::clamp<Duration>(retention, Duration{}, maxRetention);
    m_records.emplace(stream, Record{binding, now, expiresAt});
    m_byExpiry.emplace(expiresAt, stream);
    return hadRoom;
}

const StreamBindings::Record *StreamBindings::find(const StreamKey &stream, Time now) const
{
    const auto it = m_records.find(stream);
    return it == m_records.end() || it->second.expiresAt <= now ? nullptr : &it->second;
}

void StreamBindings::dropExpired(Time now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        erase(m_byExpiry.begin()->second);
}

void StreamBindings::erase(const StreamKey &stream)
{
    const auto it = m_records.find(stream);
    if (it == m_records.end())
        return;
    m_byExpiry.erase({it->second.expiresAt, stream});
    m_records.erase(it);
}

} // namespace reachlead

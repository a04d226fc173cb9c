// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/streambatches.h>

#include <algorithm>
#include <utility>

namespace reachlead {

void StreamBatches::occupy(BatchSlot slot, UnixMillis until)
{
    if (slot >= maxSlots)
        return;
    if (m_batches.size() <= slot)
        m_batches.resize(slot + 1);
    m_batches[slot].until = std::max(m_batches[slot].until, until);
}

/// Opens a slot whose bindings have expired. If there is none, the one that expires first is
/// overwritten, and false is returned.
bool StreamBatches::openSlot(UnixMillis now)
{
    auto slot = std::ranges::min_element(m_batches, {}, &StreamBatch::until);
    const bool isExpired = slot != m_batches.end() && slot->until + expiryMarginMs <= now;
    if (!isExpired && m_batches.size() < maxSlots)
        slot = m_batches.emplace(m_batches.end());
    const bool hadRoom = slot->until == 0 || slot->until + expiryMarginMs <= now;
    *slot = {};
    m_open = static_cast<BatchSlot>(slot - m_batches.begin());
    m_openedAt = now;
    return hadRoom;
}

bool StreamBatches::add(const BoundStream &bound, UnixMillis until, UnixMillis now)
{
    const bool isClosed =
        !m_open || m_batches[*m_open].streams.size() >= maxStreams || m_openedAt + maxAgeMs <= now;
    const bool hadRoom = !isClosed || openSlot(now);
    StreamBatch &batch = m_batches[*m_open];
    batch.streams.push_back(bound);
    batch.until = std::max(batch.until, until);
    m_changed.insert(*m_open);
    return hadRoom;
}

std::set<BatchSlot> StreamBatches::takeChanged()
{
    return std::exchange(m_changed, {});
}

} // namespace reachlead

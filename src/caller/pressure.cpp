// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "pressure.h"

#include <utility>

namespace reachlead {

Pressure::Pressure(const Options &options, Counters &counters)
    : m_options(options), m_counters(counters), m_budget(options.bounds)
{
    m_budget.onReleased([this] { grantWaiting(); });
}

void Pressure::grantWaiting()
{
    std::erase_if(m_waiting, [](RoomRequest *request) { return request->tryGrant(); });
}

void Pressure::updateGauges()
{
    m_counters.set(Gauge::HeldBytes, static_cast<std::int64_t>(m_budget.held().value));
    m_counters.set(Gauge::CallsWaitingForRoom, static_cast<std::int64_t>(m_waiting.size()));
}

RoomRequest::RoomRequest(std::shared_ptr<Pressure> pressure, ByteLease &lease, ByteCount target,
                         Signal &granted)
    : m_pressure(std::move(pressure)), m_lease(lease), m_target(target), m_granted(granted)
{
    if (tryGrant())
        return;
    m_pressure->m_counters.add(Counter::ReadsPaused);
    m_pressure->m_waiting.push_back(this);
}

RoomRequest::~RoomRequest()
{
    if (!m_isGranted)
        m_pressure->m_waiting.remove(this);
}

bool RoomRequest::tryGrant()
{
    m_isGranted = m_lease.resize(m_target);
    if (m_isGranted)
        m_granted.notify();
    return m_isGranted;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Back pressure of a gateway: calls wait for room before more bytes are read for them.

#pragma once

#include <functional>
#include <list>
#include <memory>

#include <reachlead/counters.h>
#include <reachlead/pressure/bytebudget.h>
#include <reachlead/pressure/stalltracker.h>
#include <reachlead/signal.h>

namespace reachlead {

/// The byte budget of a gateway, and the calls that wait for room in it. Not thread-safe. Shared by
/// the calls, as the last ones are destroyed with the event loop.
class Pressure
{
public:
    struct Options
    {
        bool isEnabled = true;
        ByteBudget::Bounds bounds;
        /// As in StallTracker.
        Duration stallTime = StallTracker::defaultStallTime;
        /// A caller that takes nothing for this long is disconnected. Upstreams cut answers that
        /// stay unread for some seconds, so that nothing more could follow.
        Duration stallLimit = seconds(10);
        /// For what a caller has not taken, or the gateway has not read from an upstream; 0: as the
        /// kernel decides. Unread bytes count for the VM, and the kernel's own limit is several MB
        /// for each connection.
        int socketBufferBytes = 64 << 10;
    };

    Pressure(const Options &options, Counters &counters);

    ByteLease lease(const AccountName &account) const { return m_budget.lease(account); }
    const Options &options() const { return m_options; }
    void updateGauges();

    /// Bytes of the buffers that each call has besides its request: one chunk that is read from the
    /// upstream, its copy that is written to the caller, and the buffers of both connections.
    static constexpr ByteCount callBuffers = kibibytes(32);

    /// Returns what a head of so many bytes and lines takes: a node for each field besides its
    /// text, as it was received and as it is forwarded.
    static constexpr ByteCount headCost(std::uint64_t bytes, std::uint64_t lines)
    {
        constexpr std::uint64_t nodeBytes = 96; // with what the allocator adds
        constexpr std::uint64_t copies = 2;
        return {copies * (bytes + lines * nodeBytes)};
    }

private:
    friend class RoomRequest;
    void grantWaiting();

    Options m_options;
    Counters &m_counters;
    ByteBudget m_budget;
    std::list<class RoomRequest *> m_waiting; ///< in order of arrival
};

/// Waits for room for one lease. Room is granted in order of arrival, except that a request whose
/// account is at its bound does not hold up those behind it. The lease must outlive it.
class RoomRequest
{
public:
    /// \p granted is notified when the room is granted.
    RoomRequest(std::shared_ptr<Pressure> pressure, ByteLease &lease, ByteCount target,
                Signal &granted);
    ~RoomRequest();
    RoomRequest(const RoomRequest &) = delete;
    RoomRequest &operator=(const RoomRequest &) = delete;

    bool isGranted() const { return m_isGranted; }

private:
    friend class Pressure;
    bool tryGrant();

    std::shared_ptr<Pressure> m_pressure;
    ByteLease &m_lease;
    ByteCount m_target;
    Signal &m_granted;
    bool m_isGranted = false;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Estimates when a peer sent a message, by this process's clock.

#pragma once

#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// When a message arrived, as far as its reader knows.
struct ArrivalBounds
{
    Time notBefore; ///< the message had not arrived by then
    Time readAt;
};

/// Converts the stamps of one sender, by its own steady clock, to times of this process. Not
/// thread-safe, reads no clock.
///
/// A busy reader may read a message seconds after it arrived, and a busy link may delay it, so the
/// time of reading says little about how old the contents are. Each message bounds the difference
/// of the two clocks: it was sent before it was read and, unless it was delayed on its way, not
/// long before it arrived. An estimate is later than the true time by the longest delay of a
/// message on its way at most, and also by the shortest time at most that passed until one was
/// read, but for the drift of the clocks since then.
class SenderClock
{
public:
    /// A message with the stamp \p stamp was received.
    void received(Duration stamp, const ArrivalBounds &arrival);

    /// When a message with this stamp was sent. Call received() for it first.
    Time sentAt(Duration stamp) const;

    /// Clocks of two VMs drift apart at most at this rate.
    static constexpr double maxDrift = 200e-6;

private:
    std::optional<Duration> m_least; ///< of the difference of the clocks, by times of arrival
    Duration m_most{}; ///< the same by times of reading
    Time m_updatedAt{};
};

} // namespace reachlead

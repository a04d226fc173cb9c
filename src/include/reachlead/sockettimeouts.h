// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Timeouts that detect dead TCP peers.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// A connection is closed when sent data stays unacknowledged for this long. Allows for a few
/// retransmissions on links with a latency of a few ms.
inline constexpr Duration ackTimeout = milliseconds(2000);

/// Disables Nagle's algorithm, and has the kernel detect a peer that lost power or is partitioned:
/// after ackTimeout while data is in flight, and after about three seconds on an idle connection.
void setSocketTimeouts(boost::asio::ip::tcp::socket &socket);

/// Replaces ackTimeout. It also limits how long a peer that reads nothing may keep its window
/// closed.
void setAckTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace reachlead

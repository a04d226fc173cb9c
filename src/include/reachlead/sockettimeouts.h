// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long a TCP connection may go without a sign of life.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// Without an acknowledgement of sent bytes for this long, a connection is given up: a few
/// retransmissions on links of a few ms.
inline constexpr Duration ackTimeout = milliseconds(2000);

/// Sends without delay, and has the kernel find a peer that lost power or is cut off: after
/// ackTimeout with bytes under way, and after about three seconds of silence without.
void setSocketTimeouts(boost::asio::ip::tcp::socket &socket);

} // namespace reachlead

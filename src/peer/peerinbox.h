// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads the datagrams of other gateways.

#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/senderclock.h>

namespace reachlead {

/// A datagram and when it arrived.
struct PeerDatagram
{
    std::string bytes;
    boost::asio::ip::udp::endpoint from;
    ArrivalBounds arrival;
};

/// Reads a socket until it is empty, each time that a datagram arrives. Not thread-safe.
///
/// The event loop serves each socket once in a round, and a round takes long when many calls are in
/// progress. If a round read one datagram, those of other gateways would wait in the socket until
/// they are outdated, and the newest ones would be dropped.
class PeerInbox
{
public:
    /// \p socket must outlive the inbox, and must not be read elsewhere.
    explicit PeerInbox(boost::asio::ip::udp::socket &socket);

    /// Waits for a datagram, and returns it with all others that have arrived. Empty on an error.
    boost::asio::awaitable<std::vector<PeerDatagram>> read();

    /// What has arrived, without waiting. Shows when the socket was empty if few datagrams arrive.
    std::vector<PeerDatagram> readArrived();

    static constexpr std::size_t maxDatagramBytes = 8192; ///< a heartbeat has at most about 1 KB
    /// Read at once; more stay in the socket until these have been handled. By default the kernel
    /// holds about as many.
    static constexpr std::size_t maxBatchBytes = 256U << 10U;

private:
    void readUntilEmpty(std::vector<PeerDatagram> *batch);
    boost::system::error_code readMore(std::vector<PeerDatagram> *batch);

    boost::asio::ip::udp::socket &m_socket;
    std::vector<char> m_buf;
    Time m_emptyAt; ///< when the socket was last known to be empty
};

} // namespace reachlead

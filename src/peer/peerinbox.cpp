// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/peerinbox.h"

#include <reachlead/completion.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

} // namespace

PeerInbox::PeerInbox(udp::socket &socket)
    : m_socket(socket), m_buf(maxDatagramBytes), m_emptyAt(RuntimeClock::now())
{
    m_socket.non_blocking(true);
}

asio::awaitable<std::vector<PeerDatagram>> PeerInbox::read()
{
    std::vector<PeerDatagram> batch;
    error_code ec;
    udp::endpoint from;
    const std::size_t n =
        co_await m_socket.async_receive_from(asio::buffer(m_buf), from, storeError(&ec));
    if (!ec) {
        batch.push_back({std::string(m_buf.data(), n), from, {}});
        readUntilEmpty(&batch);
    }
    co_return batch;
}

std::vector<PeerDatagram> PeerInbox::readArrived()
{
    std::vector<PeerDatagram> batch;
    readUntilEmpty(&batch);
    return batch;
}

/// Adds what has arrived to a batch, and sets the bounds of all of it.
void PeerInbox::readUntilEmpty(std::vector<PeerDatagram> *batch)
{
    error_code ec;
    Time triedAt;
    std::size_t bytes = 0;
    while (!ec && bytes < maxBatchBytes) {
        triedAt = RuntimeClock::now();
        ec = readMore(batch);
        if (!ec)
            bytes += sizeof(PeerDatagram) + batch->back().bytes.size();
    }
    const Time now = RuntimeClock::now();
    for (PeerDatagram &it : *batch)
        it.arrival = {m_emptyAt, now};
    if (ec == asio::error::would_block)
        m_emptyAt = triedAt;
}

/// Reads another datagram; would_block if there is none.
error_code PeerInbox::readMore(std::vector<PeerDatagram> *batch)
{
    error_code ec;
    udp::endpoint from;
    const std::size_t n = m_socket.receive_from(asio::buffer(m_buf), from, 0, ec);
    if (!ec)
        batch->push_back({std::string(m_buf.data(), n), from, {}});
    return ec;
}

} // namespace reachlead

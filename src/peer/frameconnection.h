// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A TCP connection that carries frames in both directions.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "peer/codec.h"

namespace reachlead {

/// Reads and writes frames. Used from one thread, on which its handlers run.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Receives one frame's payload; returning false closes the connection.
    using OnFrame = std::function<bool(std::string_view payload)>;
    /// Called once when the connection is closed, by either side.
    using OnClosed = std::function<void(const std::string &reason)>;

    explicit FrameConnection(Socket socket);

    void start(OnFrame onFrame, OnClosed onClosed);

    /// Queues a message. Messages queued in one iteration of the event loop go out in one write.
    template <class Message> void send(const Message &message)
    {
        if (m_closed)
            return;
        appendFrame(&m_pending, message);
        scheduleWrite();
    }

    /// Closes the connection, discarding queued messages.
    void close(const std::string &reason);

    /// Closes the connection once all queued messages have been written.
    void closeWhenWritten();

    std::string remoteAddress() const { return m_remoteAddress; }

private:
    /// With more bytes queued the peer is assumed not to read, and the connection is closed.
    static constexpr std::size_t maxPendingBytes = 64U << 20U;
    static constexpr std::size_t readChunkBytes = 64U << 10U;

    void scheduleRead();
    bool handleFrames();
    void scheduleWrite();
    void writePending();

    Socket m_socket;
    std::string m_remoteAddress;
    OnFrame m_onFrame;
    OnClosed m_onClosed;
    std::string m_input;
    std::string m_pending;
    std::string m_writing;
    bool m_writeScheduled = false;
    bool m_closed = false;
    bool m_closeWhenWritten = false;
};

/// Sets keep-alive and TCP_USER_TIMEOUT so that the loss of the peer's VM, which sends no
/// FIN or RST, is detected within seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace reachlead

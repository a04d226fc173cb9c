// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A TCP connection that carries frames both ways.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "peer/codec.h"

namespace reachlead {

/// Reads and writes frames. One thread uses it; its handlers run there.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Gets one frame's payload; false ends the connection.
    using OnFrame = std::function<bool(std::string_view payload)>;
    /// Called once, when the connection ended for whatever reason.
    using OnClosed = std::function<void(const std::string &reason)>;

    explicit FrameConnection(Socket socket);

    void start(OnFrame onFrame, OnClosed onClosed);

    /// Queues a message. Messages of one turn of the event loop leave in one write.
    template <class Message> void send(const Message &message)
    {
        if (m_closed)
            return;
        appendFrame(&m_pending, message);
        scheduleWrite();
    }

    /// Ends the connection; what is queued is dropped.
    void close(const std::string &reason);

    /// Ends the connection once all that is queued has been written.
    void closeWhenWritten();

    std::string remoteAddress() const { return m_remoteAddress; }

private:
    /// Queued bytes over which the other side counts as not reading.
    static constexpr std::size_t mostPending = 64U << 20U;
    static constexpr std::size_t readSize = 64U << 10U;

    void readMore();
    bool takeFrames();
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

/// Makes a silent loss of the other VM show within seconds.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace reachlead

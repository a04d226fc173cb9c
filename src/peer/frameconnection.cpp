// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/frameconnection.h"

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace reachlead {

namespace asio = boost::asio;

namespace {

/// Age of unacknowledged data at which Linux closes a connection (TCP_USER_TIMEOUT).
constexpr int userTimeoutMs = 5000;

} // namespace

void setTcpOptions(asio::ip::tcp::socket &socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(KeepIdle(3), ec);
    socket.set_option(KeepInterval(1), ec);
    socket.set_option(UserTimeout(userTimeoutMs), ec);
}

FrameConnection::FrameConnection(Socket socket) : m_socket(std::move(socket))
{
    setTcpOptions(m_socket);
    boost::system::error_code ec;
    const auto remote = m_socket.remote_endpoint(ec);
    if (!ec)
        m_remoteAddress = remote.address().to_string();
}

void FrameConnection::start(OnFrame onFrame, OnClosed onClosed)
{
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
    scheduleRead();
}

void FrameConnection::scheduleRead()
{
    const std::size_t oldSize = m_input.size();
    m_input.resize(oldSize + readChunkBytes);
    const auto buffer = asio::buffer(m_input.data() + oldSize, readChunkBytes);
    m_socket.async_read_some(
        buffer, [self = shared_from_this(), oldSize](boost::system::error_code ec, std::size_t n) {
            self->m_input.resize(oldSize + n);
            if (self->m_closed)
                return;
            if (ec) {
                self->close(ec.message());
                return;
            }
            if (self->handleFrames() && !self->m_closed)
                self->scheduleRead();
        });
}

bool FrameConnection::handleFrames()
{
    std::string_view remaining = m_input;
    while (remaining.size() >= frameHeaderBytes) {
        const std::optional<std::size_t> length = frameLength(remaining);
        if (!length) {
            close("frame exceeds the size limit");
            return false;
        }
        if (remaining.size() < frameHeaderBytes + *length)
            break;
        const bool isValid = m_onFrame(remaining.substr(frameHeaderBytes, *length));
        if (m_closed)
            return false;
        if (!isValid) {
            close("frame is invalid");
            return false;
        }
        remaining.remove_prefix(frameHeaderBytes + *length);
    }
    m_input.erase(0, m_input.size() - remaining.size());
    return true;
}

void FrameConnection::scheduleWrite()
{
    if (m_pending.size() > maxPendingBytes) {
        close("send queue is full: the peer does not read");
        return;
    }
    if (m_writeScheduled)
        return;
    m_writeScheduled = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writePending(); });
}

void FrameConnection::writePending()
{
    if (m_closed)
        return;
    m_writing.clear();
    std::swap(m_writing, m_pending);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                          self->m_writeScheduled = false;
                          if (self->m_closed)
                              return;
                          if (ec)
                              self->close(ec.message());
                          else if (!self->m_pending.empty())
                              self->scheduleWrite();
                          else if (self->m_closeWhenWritten)
                              self->close("done");
                      });
}

void FrameConnection::closeWhenWritten()
{
    m_closeWhenWritten = true;
    if (!m_writeScheduled)
        close("done");
}

void FrameConnection::close(const std::string &reason)
{
    if (std::exchange(m_closed, true))
        return;
    boost::system::error_code ec;
    m_socket.close(ec);
    // Posted, since the handler may hold the last reference to this object and may be the caller.
    auto handler = std::exchange(m_onClosed, nullptr);
    if (handler)
        asio::post(m_socket.get_executor(),
                   [handler = std::move(handler), reason, self = shared_from_this()] {
                       handler(reason);
                       self->m_onFrame = nullptr;
                   });
}

} // namespace reachlead

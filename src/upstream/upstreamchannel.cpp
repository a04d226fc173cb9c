// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstreamchannel.h"

#include <algorithm>
#include <ranges>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <reachlead/sockettimeouts.h>

namespace reachlead {

namespace asio = boost::asio;
using boost::system::error_code;

bool UpstreamChannel::isClean()
{
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
}

void UpstreamChannel::close()
{
    error_code ec;
    socket.close(ec);
}

bool ConnectionPool::isUsable(UpstreamChannel &channel) const
{
    const Duration age = RuntimeClock::now() - channel.idleSince;
    return age + idleMargin < channel.idleTimeout && channel.isClean();
}

UpstreamChannelPtr ConnectionPool::takeIdle(const UpstreamId &id)
{
    const auto it = m_idle.find(id);
    if (it == m_idle.end())
        return nullptr;
    std::vector<UpstreamChannelPtr> &idle = it->second;
    while (!idle.empty()) {
        UpstreamChannelPtr channel = std::move(idle.back());
        idle.pop_back();
        if (isUsable(*channel))
            return channel;
        channel->close();
    }
    return nullptr;
}

asio::awaitable<UpstreamChannelPtr>
ConnectionPool::connect(const UpstreamEntry &entry, Duration timeout, ConnectFailure *failure)
{
    auto channel = std::make_shared<UpstreamChannel>(asio::ip::tcp::socket(m_executor));
    error_code ec;
    const auto address = asio::ip::make_address(entry.address.address, ec);
    if (ec) {
        failure->reason = fmt::format("{} is not an IP address", entry.address.address);
        co_return nullptr;
    }
    if (m_socketBuffers > 0) { // before connecting, as it decides the scale of the window
        channel->socket.open(asio::ip::tcp::v4(), ec);
        channel->socket.set_option(asio::socket_base::receive_buffer_size(m_socketBuffers), ec);
        channel->socket.set_option(asio::socket_base::send_buffer_size(m_socketBuffers), ec);
    }
    Timer timer(m_executor);
    timer.expires_after(timeout);
    timer.async_wait([channel](const error_code &timerError) {
        if (!timerError)
            channel->close();
    });
    co_await channel->socket.async_connect({address, entry.address.port},
                                           asio::redirect_error(asio::use_awaitable, ec));
    timer.cancel();
    if (ec || !channel->socket.is_open()) {
        failure->reason = ec ? ec.message() : "connecting timed out";
        failure->connectionRefused = ec == asio::error::connection_refused;
        co_return nullptr;
    }
    setSocketTimeouts(channel->socket);
    co_return channel;
}

void ConnectionPool::giveBack(const UpstreamId &id, UpstreamChannelPtr channel)
{
    std::vector<UpstreamChannelPtr> &idle = m_idle[id];
    if (idle.size() >= maxIdle) {
        channel->close();
        return;
    }
    channel->idleSince = RuntimeClock::now();
    idle.push_back(std::move(channel));
}

void ConnectionPool::closeIdle(const UpstreamId &id)
{
    const auto it = m_idle.find(id);
    if (it == m_idle.end())
        return;
    std::ranges::for_each(it->second, [](const UpstreamChannelPtr &channel) { channel->close(); });
    m_idle.erase(it);
}

void ConnectionPool::closeExpired()
{
    for (std::vector<UpstreamChannelPtr> &idle : m_idle | std::views::values) {
        std::erase_if(idle, [&](const UpstreamChannelPtr &channel) {
            if (isUsable(*channel))
                return false;
            channel->close();
            return true;
        });
    }
}

} // namespace reachlead

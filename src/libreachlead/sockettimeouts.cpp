// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/sockettimeouts.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;

template <int name> using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2; ///< unanswered; then the connection is closed

} // namespace

void setSocketTimeouts(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec; // ignored: an option that the kernel lacks only delays detection
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(keepAliveIdleSeconds), ec);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(keepAliveIntervalSeconds), ec);
    socket.set_option(TcpOption<TCP_KEEPCNT>(keepAliveProbes), ec);
    setAckTimeout(socket, ackTimeout);
}

void setAckTimeout(asio::ip::tcp::socket &socket, Duration timeout)
{
    boost::system::error_code ec; // as above
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(toMillis(timeout))), ec);
}

} // namespace reachlead

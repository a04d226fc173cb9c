// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/sockettimeouts.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;

template <int name> using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

constexpr int probeAfterSeconds = 1; ///< of silence
constexpr int probeEverySeconds = 1;
constexpr int probesUnanswered = 2; ///< then the connection is given up

} // namespace

void setSocketTimeouts(asio::ip::tcp::socket &socket)
{
    const auto unackedMs = static_cast<int>(toMillis(ackTimeout));
    boost::system::error_code ec; // an option that the kernel lacks only makes the search slower
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(probeAfterSeconds), ec);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(probeEverySeconds), ec);
    socket.set_option(TcpOption<TCP_KEEPCNT>(probesUnanswered), ec);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(unackedMs), ec);
}

} // namespace reachlead

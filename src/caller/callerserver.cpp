// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/callerserver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <reachlead/log.h>

#include "caller/callerconnection.h"
#include "caller/yielding.h"

namespace reachlead {

namespace asio = boost::asio;
using asio::ip::tcp;

CallerServer::CallerServer(Options options, CallerHooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)), m_work(m_io.get_executor()),
      m_acceptor(m_io), m_ready(m_options.maxOpenRequests * 2,
                                [this] { asio::post(m_io, [this] { handleReady(); }); }),
      m_pressure(std::make_shared<Pressure>(m_options.pressure, *m_options.counters))
{
    listen();
    m_thread = std::thread([this] { run(); });
}

void CallerServer::listen()
{
    const tcp::endpoint at(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
    m_acceptor.open(at.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // Connections inherit it before the peer learns how much it may send.
    if (m_options.receiveBufferBytes > 0)
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(m_options.receiveBufferBytes));
    m_acceptor.bind(at);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    m_port = m_acceptor.local_endpoint().port();
}

CallerServer::~CallerServer()
{
    join();
}

void CallerServer::join()
{
    if (!m_thread.joinable())
        return;
    stopAccepting();
    asio::post(m_io, [this] { m_work.reset(); });
    asio::post(m_io, [this] { m_io.stop(); });
    m_thread.join();
}

void CallerServer::run()
{
    accept();
    m_io.run();
}

void CallerServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec && makeRoomForConnection()) {
            const auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
            m_connections.push_back(connection);
            asio::co_spawn(
                m_io, [connection]() -> asio::awaitable<void> { co_await connection->run(); },
                asio::detached);
        } else if (!ec) {
            // Closed unread: the account and its class are not known yet, so this bound cannot
            // depend on the class.
            m_options.counters->refused(ErrorKind::OpenRequests);
        }
        accept();
    });
}

/// Makes the connections yield that have been open longest to no use, if the limit is reached.
/// Returns false if none makes room for a new connection.
bool CallerServer::makeRoomForConnection()
{
    std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
    const std::size_t limit = m_options.maxConnections;
    if (m_connectionCount < limit)
        return true;
    std::vector<YieldCandidate<std::shared_ptr<CallerConnection>>> candidates;
    const Time now = RuntimeClock::now();
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (const auto unproductive = connection->unproductiveTime(now))
            candidates.push_back({*unproductive, connection});
    }
    m_options.counters->add(Counter::ConnectionsYielded,
                            yieldConnections(std::move(candidates), limit));
    const auto yielding = std::ranges::count_if(m_connections, [](const auto &weak) {
        const auto connection = weak.lock();
        return connection && connection->isYielding();
    });
    return isRoomLeft(m_connectionCount, static_cast<std::size_t>(yielding), limit);
}

void CallerServer::notifyReady(AnswerChannelPtr channel)
{
    if (!m_ready.push(std::move(channel)))
        m_options.counters->add(Counter::RingFull);
}

void CallerServer::handleReady()
{
    for (const AnswerChannelPtr &channel : m_ready.drain()) {
        if (channel->onReady)
            channel->onReady();
    }
}

/// Counts one more open request, if the tier's bound allows it. The bound decreases by a tenth for
/// each tier below the highest, so that lower tiers cannot use up the capacity of higher ones.
bool CallerServer::acquireSlot(Tier tier)
{
    constexpr std::size_t parts = 10;
    const std::size_t bound = m_options.maxOpenRequests * (parts - indexOf(tier)) / parts;
    if (m_openRequests >= bound)
        return false;
    ++m_openRequests;
    return true;
}

void CallerServer::releaseSlot()
{
    --m_openRequests;
}

RequestId CallerServer::nextId()
{
    return {m_options.incarnation, ++m_sequence};
}

PoliciesPtr CallerServer::policies() const
{
    std::scoped_lock lock(m_mutex);
    return m_policies;
}

std::vector<TargetName> CallerServer::targets() const
{
    std::scoped_lock lock(m_mutex);
    return m_targets;
}

void CallerServer::setPolicies(PoliciesPtr policies)
{
    std::scoped_lock lock(m_mutex);
    m_policies = std::move(policies);
}

void CallerServer::setTargets(std::vector<TargetName> targets)
{
    std::scoped_lock lock(m_mutex);
    m_targets = std::move(targets);
}

void CallerServer::beginStop()
{
    m_stopping = true;
}

void CallerServer::stopAccepting()
{
    m_stopping = true;
    asio::post(m_io, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_closing = true;
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock())
                connection->closeIfIdle();
        }
    });
}

} // namespace reachlead

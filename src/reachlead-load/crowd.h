// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A crowd of clients that misuse the limits of a server: they send much of a request and stop,
/// send many requests without reading the answers, or send a byte now and then.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/clock.h>
#include <reachlead/http.h>

namespace reachlead {

struct CrowdPlan;

/// What each client of a crowd sends.
struct CrowdShape
{
    std::string_view name;
    /// Returns the bytes of one step, or nothing after the last.
    std::optional<std::string> (*step)(const CrowdPlan &plan, std::size_t number);
    Duration pause{}; ///< between the steps
    bool readsAnswers = true;
    bool reconnects = false; ///< a client whose connection was closed opens another
    bool settlesWhenClosed = true; ///< a client whose connection was closed counts as settled
    std::size_t settledAfter = 0; ///< steps after which a client counts as settled; 0: the last
};

/// Returns the shape of that name, or null.
const CrowdShape *findCrowdShape(std::string_view name);
std::vector<std::string_view> crowdShapeNames();

struct CrowdPlan
{
    Endpoint target;
    std::vector<std::string> keys; ///< of the accounts, taken in turn; empty: none
    std::string key; ///< of one client; empty: none
    std::string path = "/";
    std::string commonFields; ///< lines of each head
    std::string shape;
    std::size_t clients = 60;
    std::size_t bodyBytes = 1U << 20U;
    std::size_t headBytes = 16U << 10U;

    /// Returns the head of a request with the lines of \p fields.
    std::string head(std::string_view fields) const;
};

/// Runs a crowd until the process is stopped.
class Crowd
{
public:
    Crowd(boost::asio::io_context &io, CrowdPlan plan);

    /// Prints `settled` once each client has sent all that it sends, was disconnected, or cannot
    /// send more.
    boost::asio::awaitable<void> reportSettled();

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Client
    {
        std::size_t steps = 0; ///< on all its connections
        bool isSettled = false;
    };

    boost::asio::awaitable<void> runClient(CrowdPlan plan);
    boost::asio::awaitable<void> sendSteps(const CrowdPlan &plan, Socket &socket, Client &client);
    boost::asio::awaitable<void> discardAnswers(std::shared_ptr<Socket> socket);
    void countSettled(Client &client);

    boost::asio::io_context &m_io;
    CrowdPlan m_plan;
    const CrowdShape &m_shape;
    std::size_t m_settled = 0; ///< clients
    std::uint64_t m_progress = 0; ///< pieces sent and connections that ended
};

} // namespace reachlead

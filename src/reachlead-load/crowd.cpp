// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-load/crowd.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <reachlead/completion.h>
#include <reachlead/sleep.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t pieceBytes = 64U << 10U;
constexpr std::size_t smallBodyBytes = 16'000;
constexpr std::size_t smallBodies = 12;
constexpr std::size_t largeBodies = 3;
constexpr std::size_t unreadAnswers = 200;

constexpr Duration reconnectDelay = milliseconds(50);
constexpr Duration checkInterval = milliseconds(100);
/// Without progress for this long, no client can send more.
constexpr Duration blockedAfter = seconds(2);
/// The latest time of `settled`, for clients that make progress for ever.
constexpr Duration settleLimit = seconds(30);

/// Returns the piece of so many bytes from \p offset on, or nothing behind the end.
std::optional<std::string> bodyPiece(std::size_t offset, std::size_t end, std::size_t size)
{
    if (offset >= end)
        return std::nullopt;
    return std::string(std::min(size, end - offset), 'b');
}

std::string lengthField(std::size_t bytes)
{
    return fmt::format("Content-Length: {}\r\n", bytes);
}

std::optional<std::string> allButTheLastByte(const CrowdPlan &plan, std::size_t number)
{
    if (number == 0)
        return plan.head(lengthField(plan.bodyBytes));
    return bodyPiece((number - 1) * pieceBytes, plan.bodyBytes - 1, pieceBytes);
}

std::optional<std::string> chunksWithoutEnd(const CrowdPlan &plan, std::size_t number)
{
    if (number == 0)
        return plan.head("Transfer-Encoding: chunked\r\n");
    const auto piece = bodyPiece((number - 1) * pieceBytes, plan.bodyBytes - 1, pieceBytes);
    if (!piece)
        return std::nullopt;
    return fmt::format("{:x}\r\n{}\r\n", piece->size(), *piece);
}

std::optional<std::string> chunkForEachByte(const CrowdPlan &plan, std::size_t number)
{
    constexpr std::size_t chunks = 8192; // in each step
    if (number == 0)
        return plan.head("Transfer-Encoding: chunked\r\n");
    if ((number - 1) * chunks >= plan.bodyBytes - 1)
        return std::nullopt;
    std::string out;
    for (std::size_t n = 0; n < std::min(chunks, plan.bodyBytes - 1 - (number - 1) * chunks); ++n)
        out += "1\r\nb\r\n";
    return out;
}

std::optional<std::string> wholeBodies(const CrowdPlan &plan, std::size_t number)
{
    if (number >= largeBodies)
        return std::nullopt;
    return plan.head(lengthField(plan.bodyBytes)) + std::string(plan.bodyBytes, 'b');
}

std::optional<std::string> wholeBodiesForEver(const CrowdPlan &plan, std::size_t)
{
    return plan.head(lengthField(plan.bodyBytes)) + std::string(plan.bodyBytes, 'b');
}

std::optional<std::string> smallRequestsInARow(const CrowdPlan &plan, std::size_t number)
{
    if (number >= smallBodies)
        return std::nullopt;
    return plan.head(lengthField(smallBodyBytes)) + std::string(smallBodyBytes, 'b');
}

/// A head of the largest size, of the shortest fields, and a body that does not come.
std::optional<std::string> shortFields(const CrowdPlan &plan, std::size_t number)
{
    constexpr std::string_view field = "a:\r\n";
    if (number > 0)
        return std::nullopt;
    std::string fields = lengthField(1);
    while (plan.head(fields).size() + field.size() <= plan.headBytes)
        fields += field;
    return plan.head(fields);
}

std::optional<std::string> byteNowAndThen(const CrowdPlan &plan, std::size_t number)
{
    return number == 0 ? plan.head(lengthField(plan.bodyBytes)) : std::string("b");
}

std::optional<std::string> nothing(const CrowdPlan &, std::size_t)
{
    return std::nullopt;
}

std::optional<std::string> requestsOnly(const CrowdPlan &plan, std::size_t number)
{
    if (number >= unreadAnswers)
        return std::nullopt;
    return plan.head(lengthField(1)) + "b";
}

constexpr auto shapes = std::to_array<CrowdShape>({
    {.name = "all-but-the-last-byte", .step = allButTheLastByte},
    {.name = "chunks-without-end", .step = chunksWithoutEnd},
    {.name = "chunk-for-each-byte", .step = chunkForEachByte},
    {.name = "whole-bodies", .step = wholeBodies},
    {.name = "whole-bodies-for-ever",
     .step = wholeBodiesForEver,
     .reconnects = true,
     .settlesWhenClosed = false,
     .settledAfter = 20},
    {.name = "small-requests", .step = smallRequestsInARow},
    {.name = "short-fields", .step = shortFields},
    {.name = "byte-now-and-then",
     .step = byteNowAndThen,
     .pause = seconds(1),
     .reconnects = true,
     .settledAfter = 3},
    {.name = "idle", .step = nothing, .reconnects = true},
    {.name = "unread-answers", .step = requestsOnly, .readsAnswers = false},
});

const CrowdShape &shapeOf(const CrowdPlan &plan)
{
    const CrowdShape *shape = findCrowdShape(plan.shape);
    if (shape == nullptr)
        throw std::runtime_error("--shape: no shape of a crowd is named " + plan.shape);
    return *shape;
}

} // namespace

const CrowdShape *findCrowdShape(std::string_view name)
{
    const auto it = std::ranges::find(shapes, name, &CrowdShape::name);
    return it == shapes.end() ? nullptr : &*it;
}

std::vector<std::string_view> crowdShapeNames()
{
    std::vector<std::string_view> names;
    std::ranges::transform(shapes, std::back_inserter(names), &CrowdShape::name);
    return names;
}

std::string CrowdPlan::head(std::string_view fields) const
{
    const std::string authorization =
        key.empty() ? std::string() : fmt::format("Authorization: Bearer {}\r\n", key);
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\n{}{}{}\r\n", path, commonFields,
                       authorization, fields);
}

Crowd::Crowd(asio::io_context &io, CrowdPlan plan)
    : m_io(io), m_plan(std::move(plan)), m_shape(shapeOf(m_plan))
{
    for (std::size_t n = 0; n < m_plan.clients; ++n) {
        CrowdPlan plan = m_plan;
        if (!plan.keys.empty())
            plan.key = plan.keys[n % plan.keys.size()];
        asio::co_spawn(m_io, runClient(std::move(plan)), asio::detached);
    }
    asio::co_spawn(m_io, reportSettled(), asio::detached);
}

void Crowd::countSettled(Client &client)
{
    if (!std::exchange(client.isSettled, true))
        ++m_settled;
}

asio::awaitable<void> Crowd::runClient(CrowdPlan plan)
{
    const tcp::endpoint to(asio::ip::make_address(plan.target.address), plan.target.port);
    Client client;
    do {
        // Shared with the reader, which may end later.
        const auto socket = std::make_shared<Socket>(m_io);
        const auto [ec] = co_await socket->async_connect(to, asTuple);
        if (!ec) {
            if (m_shape.readsAnswers)
                asio::co_spawn(m_io, discardAnswers(socket), asio::detached);
            co_await sendSteps(plan, *socket, client);
            // Stays open until the server closes.
            while (m_shape.readsAnswers && socket->is_open())
                co_await sleepFor(m_io, checkInterval);
        }
        if (m_shape.settlesWhenClosed)
            countSettled(client);
        ++m_progress;
        if (!m_shape.readsAnswers)
            co_await sleepFor(m_io, Duration::max() / 4); // open until the process is stopped
        co_await sleepFor(m_io, reconnectDelay);
    } while (m_shape.reconnects);
}

asio::awaitable<void> Crowd::sendSteps(const CrowdPlan &plan, Socket &socket, Client &client)
{
    std::size_t number = 0;
    while (auto bytes = m_shape.step(plan, number++)) {
        const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(*bytes), asTuple);
        if (ec)
            co_return;
        ++m_progress;
        if (++client.steps >= m_shape.settledAfter && m_shape.settledAfter > 0)
            countSettled(client);
        if (m_shape.pause > Duration::zero())
            co_await sleepFor(m_io, m_shape.pause);
    }
    countSettled(client);
}

asio::awaitable<void> Crowd::discardAnswers(std::shared_ptr<Socket> socket)
{
    std::array<char, 4096> buf{};
    boost::system::error_code ec;
    while (!ec)
        co_await socket->async_read_some(asio::buffer(buf), storeError(&ec));
    socket->close(ec);
}

asio::awaitable<void> Crowd::reportSettled()
{
    const Time startedAt = RuntimeClock::now();
    Time progressAt = startedAt;
    std::uint64_t seen = 0;
    while (m_settled < m_plan.clients) {
        co_await sleepFor(m_io, checkInterval);
        const Time now = RuntimeClock::now();
        if (std::exchange(seen, m_progress) != m_progress)
            progressAt = now;
        if (now - progressAt >= blockedAfter || now - startedAt >= settleLimit)
            break;
    }
    std::cout << "settled" << std::endl;
}

} // namespace reachlead

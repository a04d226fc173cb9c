// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "objectapi/claimwriter.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "objectapi/httpplatform.h"

namespace reachlead {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxPendingChanges = 4096;

std::int64_t unixSeconds()
{
    using namespace std::chrono;
    return duration_cast<seconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

ClaimWriter::ClaimWriter(Options options, std::function<void(const ClaimCompleted &)> onCompleted)
    : m_options(std::move(options)), m_onCompleted(std::move(onCompleted)),
      m_table(m_options.target, m_options.tuning, unixSeconds),
      m_platform(std::make_unique<HttpPlatform>(m_options.service, m_options.callTimeout,
                                                m_options.counters)),
      m_changes(maxPendingChanges, [this] { asio::post(m_io, [this] { applyChanges(); }); })
{
    asio::co_spawn(m_io, tickLoop(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

ClaimWriter::~ClaimWriter()
{
    join();
}

void ClaimWriter::join()
{
    if (!m_thread.joinable())
        return;
    m_io.stop();
    m_thread.join();
}

void ClaimWriter::claim(const MakeClaim &claim)
{
    push(claim);
}

void ClaimWriter::release(const ReleaseClaim &release)
{
    push(release);
}

void ClaimWriter::push(Change change)
{
    if (m_changes.push(change))
        return;
    // The ring is full: a claim is refused as not run, and the key of a release stays claimed until
    // the claim expires.
    m_options.counters->add(Counter::RingFull);
    if (const auto *claim = std::get_if<MakeClaim>(&change))
        m_onCompleted({claim->key, ClaimResult::StoreDown});
}

void ClaimWriter::applyChanges()
{
    const Time now = RuntimeClock::now();
    for (const Change &change : m_changes.drain()) {
        if (const auto *claim = std::get_if<MakeClaim>(&change))
            m_table.claim(*claim, now);
        else
            m_table.release(std::get<ReleaseClaim>(change), now);
    }
    executeActions();
}

void ClaimWriter::executeActions()
{
    for (ClaimAction &action : m_table.takeActions()) {
        if (auto *completed = std::get_if<ClaimCompleted>(&action))
            m_onCompleted(*completed);
        else if (auto *readSlots = std::get_if<ReadSlots>(&action))
            asio::co_spawn(m_io, read(std::move(*readSlots)), asio::detached);
        else
            asio::co_spawn(m_io, write(std::move(std::get<WriteSlot>(action))), asio::detached);
    }
}

asio::awaitable<void> ClaimWriter::read(ReadSlots action)
{
    const PlatformReply reply = co_await m_platform->list(action.prefix);
    m_table.replyReceived(action.call, reply, RuntimeClock::now());
    executeActions();
}

asio::awaitable<void> ClaimWriter::write(WriteSlot action)
{
    m_options.counters->add(Counter::ClaimWrites);
    const PlatformReply reply =
        co_await m_platform->put(action.key, std::move(action.value), action.expected);
    m_table.replyReceived(action.call, reply, RuntimeClock::now());
    executeActions();
}

asio::awaitable<void> ClaimWriter::tickLoop()
{
    Timer timer(m_io);
    for (;;) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        m_table.tick(RuntimeClock::now());
        executeActions();
    }
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "objectapi/platformfollower.h"

#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/log.h>

#include "objectapi/httpplatform.h"

namespace reachlead {

namespace asio = boost::asio;

PlatformFollower::PlatformFollower(Options options, std::function<void(PoliciesPtr)> onPolicies,
                                   std::function<void(std::vector<Member>)> onMembers)
    : m_options(std::move(options)), m_onPolicies(std::move(onPolicies)),
      m_onMembers(std::move(onMembers)),
      m_platform(std::make_unique<HttpPlatform>(m_options.service, m_options.callTimeout,
                                                m_options.counters))
{
    asio::co_spawn(m_io, followSettings(), asio::detached);
    asio::co_spawn(m_io, followMembers(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

PlatformFollower::~PlatformFollower()
{
    m_io.stop();
    m_thread.join();
}

PlatformFollower::Status PlatformFollower::status() const
{
    std::scoped_lock lock(m_mutex);
    return m_status;
}

void PlatformFollower::updateStatus(bool platformUp)
{
    std::scoped_lock lock(m_mutex);
    if (m_status.platformUp != platformUp)
        LogLine(platformUp ? LogLevel::Info : LogLevel::Warn, "platform").with("up", platformUp);
    m_status.platformUp = platformUp;
    m_status.version = m_replica.version();
    m_status.digest = m_replica.digest();
    m_status.reason = m_replica.lastReason();
    m_options.counters->set(Gauge::SettingsVersion, static_cast<std::int64_t>(m_replica.version()));
}

asio::awaitable<void> PlatformFollower::randomDelay(Duration maxDelay)
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::uniform_int_distribution<Duration::rep> distribution(maxDelay.count() / 4,
                                                              maxDelay.count());
    Timer timer(m_io, Duration(distribution(random)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool PlatformFollower::applyReply(const PlatformReply &reply, bool isSnapshot)
{
    const ObjectVersion before = m_replica.version();
    if (isSnapshot) {
        m_replica.applyList(reply.objects, reply.version);
    } else {
        for (const PlatformObject &object : reply.objects) {
            const bool newer = m_replica.apply(object);
            m_options.counters->add(newer ? Counter::SettingsApplied : Counter::SettingsStale);
        }
    }
    if (m_replica.version() == before && m_replica.policies())
        return false;
    m_replica.rebuild();
    if (!m_replica.lastReason().empty())
        LogLine(LogLevel::Error, "settings-not-valid").with("reason", m_replica.lastReason());
    return true;
}

asio::awaitable<void> PlatformFollower::followSettings()
{
    const std::string prefix(settingsPrefix);
    bool listed = false;
    bool succeeded = true;
    for (;;) {
        // The watch starts at the version of the list, so that no change in between is missed. The
        // replica ignores older versions, so a stale list cannot revert it.
        PlatformReply reply;
        if (!listed)
            reply = co_await m_platform->list(prefix);
        else
            reply = co_await m_platform->watch(prefix, m_replica.version(), m_options.watchTimeout);
        if (!reply.ok()) {
            listed = listed && reply.status != PlatformStatus::NotFound;
            // A single failure may be one lost answer, so the first retry is made at once.
            if (!std::exchange(succeeded, false)) {
                updateStatus(false);
                co_await randomDelay(m_options.maxRetryDelay);
            }
            continue;
        }
        succeeded = true;
        const bool changed = applyReply(reply, !listed);
        listed = true;
        updateStatus(true);
        if (changed && m_replica.policies())
            m_onPolicies(m_replica.policies());
    }
}

asio::awaitable<void> PlatformFollower::followMembers()
{
    std::vector<Member> last;
    for (;;) {
        MemberList list = co_await m_platform->members();
        // An empty list is ignored: it would close all sessions of a healthy fleet.
        if (list.known && !list.members.empty() && list.members != last) {
            last = list.members;
            m_onMembers(std::move(list.members));
        }
        co_await randomDelay(m_options.memberPollInterval);
    }
}

} // namespace reachlead

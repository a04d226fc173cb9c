// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform thread of a router: follows the settings tree and the membership list.

#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/http.h>
#include <reachlead/platform.h>
#include <reachlead/settingstree.h>

namespace reachlead {

/// Keeps a settings replica current and tells others of each change. What was read stays in force
/// while the platform is away.
class PlatformFollower
{
public:
    struct Options
    {
        Endpoint service;
        Duration callTimeout = seconds(2);
        Duration watchTimeout = seconds(20);
        Duration memberPollInterval = seconds(1);
        Duration maxRetryDelay = seconds(2); ///< between tries while the platform is away
        Counters *counters = nullptr;
    };

    /// What is in force, for operators.
    struct Status
    {
        ObjectVersion version{};
        std::uint64_t digest = 0;
        std::string reason; ///< why the newest tree is not in force; empty when it is
        bool platformUp = false;
    };

    PlatformFollower(Options options, std::function<void(PoliciesPtr)> onPolicies,
                     std::function<void(std::vector<Member>)> onMembers);
    ~PlatformFollower();

    Status status() const;

private:
    boost::asio::awaitable<void> followSettings();
    boost::asio::awaitable<void> followMembers();
    boost::asio::awaitable<void> pause(Duration longest);
    bool applyReply(const PlatformReply &reply, bool whole);
    void note(bool platformUp);

    Options m_options;
    std::function<void(PoliciesPtr)> m_onPolicies;
    std::function<void(std::vector<Member>)> m_onMembers;
    boost::asio::io_context m_io{1};
    std::unique_ptr<Platform> m_platform;
    SettingsReplica m_replica;
    mutable std::mutex m_mutex;
    Status m_status; ///< guarded by m_mutex
    std::thread m_thread;
};

} // namespace reachlead

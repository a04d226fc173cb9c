// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform thread of a router: watches the settings tree and polls the membership list.

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

/// Keeps a replica of the settings up to date and reports each change. The last settings stay in
/// force while the platform is unavailable.
class PlatformFollower
{
public:
    struct Options
    {
        Endpoint service;
        Duration callTimeout = seconds(2);
        /// A watch without changes returns after this. If its answer is lost, the next one is made
        /// after callTimeout more, which together is below the 4 s within which settings must be in
        /// force: a lost answer looks like a watch without changes.
        Duration watchTimeout = milliseconds(1500);
        Duration memberPollInterval = seconds(1);
        Duration maxRetryDelay = seconds(2); ///< while the platform is unavailable
        Counters *counters = nullptr;
    };

    /// Version and state of the settings in force, for operators.
    struct Status
    {
        ObjectVersion version{};
        std::uint64_t digest = 0;
        std::string reason; ///< why the latest tree is not in force; empty if it is
        bool platformUp = false;
    };

    PlatformFollower(Options options, std::function<void(PoliciesPtr)> onPolicies,
                     std::function<void(std::vector<Member>)> onMembers);
    ~PlatformFollower();

    Status status() const;

private:
    boost::asio::awaitable<void> followSettings();
    boost::asio::awaitable<void> followMembers();
    boost::asio::awaitable<void> randomDelay(Duration maxDelay);
    bool applyReply(const PlatformReply &reply, bool isSnapshot);
    void updateStatus(bool platformUp);

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

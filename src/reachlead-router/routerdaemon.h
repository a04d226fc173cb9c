// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One router: its four threads and how they stop.

#pragma once

#include <memory>

#include "routersettings.h"

namespace reachlead {

/// Runs from construction until stop() has returned.
class RouterDaemon
{
public:
    explicit RouterDaemon(RouterSettings settings);
    ~RouterDaemon();

    /// Stops gracefully: fails the health page, lets the balancer notice, stops accepting, and
    /// lets every request in progress finish within the stop limit. The callers of those that do
    /// not are told so.
    void stop();

    std::uint16_t callerPort() const { return m_callers->port(); }
    std::uint16_t operatorPort() const { return m_operators->port(); }

private:
    void endRequests();
    std::map<std::string, AdminServer::Page> pages();
    std::string status();
    std::string route(const std::string &target);

    RouterSettings m_settings;
    Counters m_counters;
    FleetKeyFile m_keys;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<PlatformFollower> m_follower;
    std::unique_ptr<AdminServer> m_operators;
};

} // namespace reachlead

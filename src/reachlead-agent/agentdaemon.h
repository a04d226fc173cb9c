// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One agent: its threads and how they stop.

#pragma once

#include <memory>

#include "agentsettings.h"
#include "objectapi/claimwriter.h"

namespace reachlead {

/// Runs from construction until stop() has returned.
class AgentDaemon
{
public:
    explicit AgentDaemon(AgentSettings settings);
    ~AgentDaemon();

    /// Stops gracefully: refuses new work, tells every router, and lets what runs finish within
    /// the stop limit.
    void stop();

    std::uint16_t sessionPort() const { return m_sessions->port(); }
    std::uint16_t operatorPort() const { return m_operators->port(); }

private:
    std::map<std::string, AdminServer::Page> pages();
    std::string status();
    void startClaims();
    void claim(const MakeClaim &claim);
    void takeUpstreamEvents(AgentCore &core);

    AgentSettings m_settings;
    Counters m_counters;
    FleetKeyFile m_keys;
    std::unique_ptr<SessionServer> m_sessions;
    std::unique_ptr<UpstreamClient> m_upstream;
    std::unique_ptr<ClaimWriter> m_claims; ///< null without a platform
    std::unique_ptr<AdminServer> m_operators;
};

} // namespace reachlead

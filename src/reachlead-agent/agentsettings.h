// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The process settings of an agent, read from its INI file.

#pragma once

#include <optional>
#include <string>

#include <reachlead/inifile.h>

#include "operators/adminserver.h"
#include "peer/sessionserver.h"
#include "upstream/upstreamclient.h"

namespace reachlead {

struct AgentSettings
{
    SessionServer::Options sessions;
    UpstreamClient::Options upstream;
    AdminServer::Options operators;
    std::optional<Endpoint> platform; ///< none: keys cannot be claimed, and such calls are refused
    Duration platformLimit = seconds(1);
    Duration stopLimit = seconds(120); ///< for requests in progress at a stop
    std::string fleetKeyFile; ///< empty: peers are not checked
    std::size_t logLevel = 1;

    /// Fills in what the file says; the first fault, if any.
    std::optional<std::string> read(const IniFile &file);

private:
    std::optional<std::string> readAgentSection(const IniFile &file);
    std::optional<std::string> readUpstream(const IniFile &file);
    std::optional<std::string> readPlatform(const IniFile &file);
    std::optional<std::string> readOperatorsSection(const IniFile &file);
    std::optional<std::string> readLogSection(const IniFile &file);
};

} // namespace reachlead

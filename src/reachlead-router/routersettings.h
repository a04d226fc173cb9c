// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The process settings of a router, read from its INI file.

#pragma once

#include <optional>
#include <string>

#include <reachlead/inifile.h>

#include "caller/callerserver.h"
#include "objectapi/platformfollower.h"
#include "operators/adminserver.h"
#include "peer/dispatcher.h"

namespace reachlead {

struct RouterSettings
{
    Dispatcher::Options dispatcher;
    CallerServer::Options callers;
    PlatformFollower::Options platform;
    AdminServer::Options operators;
    Duration stopNotice = seconds(2); ///< between a failing health page and the last accept
    Duration stopLimit = seconds(120); ///< for requests in progress at a stop
    std::int64_t memoryMb = 2560; ///< available to the process
    std::string fleetKeyFile; ///< empty: peers are not checked
    std::size_t logLevel = 1;

    /// Fills in what the file says; the first fault, if any.
    std::optional<std::string> read(const IniFile &file);

private:
    std::optional<std::string> readRouter(const IniFile &file);
    std::optional<std::string> readCallers(const IniFile &file);
    std::optional<std::string> readPlatform(const IniFile &file);
    std::optional<std::string> readOperatorsSection(const IniFile &file);
    std::optional<std::string> readLogSection(const IniFile &file);
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The process settings of a gateway, read from its INI file.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <reachlead/gatewaystate.h>
#include <reachlead/inifile.h>

#include "forward/forwarder.h"
#include "peer/gatewaypeers.h"
#include "peer/placementlink.h"
#include "peer/usagelink.h"

namespace reachlead {

struct GatewaySettings
{
    GatewayState::Options state;
    Forwarder::Options forwarder;
    GatewayPeers::Options peers;
    PlacementLink::Options placement;
    UsageLink::Options usage;
    Endpoint usageApi; ///< receives the usage reports
    Endpoint ready; ///< serves the load balancer's readiness checks
    Endpoint operators; ///< serves counters and histograms
    Endpoint store; ///< of configuration and registry
    std::int64_t memoryMb = 128; ///< available to the process
    double cores = 0; ///< processor cores available to the process; 0: unknown
    std::int64_t descriptors = 1024; ///< that the process may open
    Duration stopLimit = seconds(8); ///< from the stop signal until the process is killed
    std::size_t logLevel = 1;

    /// Reads the settings from a file. Returns the first error, if any.
    std::optional<std::string> read(const IniFile &file);

private:
    std::optional<std::string> readGateway(const IniFile &file);
    std::optional<std::string> readRegions(const IniFile &file);
    std::optional<std::string> readPeers(const IniFile &file);
    std::optional<std::string> readAddresses(const IniFile &file);
    std::optional<std::string> readPlacement(const IniFile &file);
    std::optional<std::string> readEngines(const IniFile &file);
    std::optional<std::string> readRetries(const IniFile &file);
    std::optional<std::string> readUsage(const IniFile &file);
    std::optional<std::string> readStop(const IniFile &file);
    std::optional<std::string> readLogSection(const IniFile &file);
};

} // namespace reachlead

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
    Endpoint usageApi; ///< takes the reports of usage
    Endpoint ready; ///< where the balancer asks whether new connections may come
    Endpoint operators; ///< counters and histograms
    Endpoint store; ///< of configuration and registry
    std::int64_t memoryMb = 128; ///< that the process may use
    double cores = 0; ///< of a processor, that the process may use; 0: not told
    std::int64_t descriptors = 1024; ///< that the process may open
    Duration stopLimit = seconds(8); ///< from the order to stop until the process is killed
    std::size_t logLevel = 1;

    /// Fills in what the file says; the first fault, if any.
    std::optional<std::string> read(const IniFile &file);

private:
    std::optional<std::string> readGateway(const IniFile &file);
    std::optional<std::string> readRegions(const IniFile &file);
    std::optional<std::string> readPeers(const IniFile &file);
    std::optional<std::string> readAddresses(const IniFile &file);
    std::optional<std::string> readPlacement(const IniFile &file);
    std::optional<std::string> readRetries(const IniFile &file);
    std::optional<std::string> readUsage(const IniFile &file);
    std::optional<std::string> readStop(const IniFile &file);
    std::optional<std::string> readLogSection(const IniFile &file);
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routersettings.h"

#include <algorithm>
#include <array>

#include "operators/daemon.h"
#include "operators/readsettings.h"

namespace reachlead {

namespace {

/// Fraction of the memory that requests may take.
constexpr std::uint64_t heldDivisor = 4;
/// Connections per MB of half the memory: each takes its read buffer and what the kernel has
/// received.
constexpr std::int64_t connectionsPerMb = 16;

} // namespace

std::optional<std::string> RouterSettings::read(const IniFile &file)
{
    using Reader = std::optional<std::string> (RouterSettings::*)(const IniFile &);
    constexpr std::array<Reader, 5> readers{
        &RouterSettings::readRouter, &RouterSettings::readCallers, &RouterSettings::readPlatform,
        &RouterSettings::readOperatorsSection, &RouterSettings::readLogSection};
    if (auto fault = unknownSection(file, {"router", "callers", "platform", "operators", "log"}))
        return fault;
    for (const Reader reader : readers) {
        if (auto fault = (this->*reader)(file))
            return fault;
    }
    return std::nullopt;
}

std::optional<std::string> RouterSettings::readRouter(const IniFile &file)
{
    IniReader reader(file, "router");
    reader.require("vm")
        .require("zone")
        .takeText("vm", &dispatcher.vm.text)
        .takeText("zone", &dispatcher.zone.text)
        .takeText("address", &dispatcher.address)
        .takeInteger("memory_mb", 16, 1'000'000, &memoryMb)
        .takeText("fleet_key_file", &fleetKeyFile)
        .takeDuration("recovery_wait", milliseconds(100), seconds(60),
                      &dispatcher.tuning.recoveryWait)
        .takeDuration("repeatable_wait", milliseconds(10), seconds(60),
                      &dispatcher.tuning.repeatableWait)
        .takeDuration("heartbeat_limit", milliseconds(600), seconds(60),
                      &dispatcher.tuning.heartbeatLimit)
        .takeDuration("stop_notice", Duration::zero(), seconds(60), &stopNotice)
        .takeDuration("stop_limit", seconds(1), seconds(3600), &stopLimit);
    if (auto fault = reader.finish())
        return fault;
    return FleetKeyFile(fleetKeyFile).open();
}

std::optional<std::string> RouterSettings::readCallers(const IniFile &file)
{
    auto mostOpen = static_cast<std::int64_t>(callers.maxOpenRequests);
    auto mostConnections = static_cast<std::int64_t>(callers.maxConnections);
    auto largestBody = static_cast<std::int64_t>(callers.maxBodyBytes);
    IniReader reader(file, "callers");
    reader.require("listen")
        .takeInteger("most_open", 10, 1'000'000, &mostOpen)
        .takeInteger("most_connections", 10, 1'000'000, &mostConnections)
        .takeInteger("largest_body", 1024, static_cast<std::int64_t>(maxFrameBytes / 2),
                     &largestBody)
        .takeDuration("header_time", milliseconds(100), seconds(600), &callers.headerTimeout)
        .takeDuration("body_time", milliseconds(100), seconds(600), &callers.bodyTimeout)
        .takeDuration("idle_time", milliseconds(100), seconds(3600), &callers.idleTimeout)
        .takeDuration("write_time", milliseconds(100), seconds(600), &callers.writeTimeout);
    callers.maxOpenRequests = static_cast<std::size_t>(mostOpen);
    callers.maxConnections =
        static_cast<std::size_t>(std::min(mostConnections, memoryMb / 2 * connectionsPerMb));
    callers.pressure.bounds.process = {mebibytes(static_cast<std::uint64_t>(memoryMb)).value
                                       / heldDivisor};
    callers.pressure.bounds.call = callers.pressure.bounds.process;
    callers.maxBodyBytes = static_cast<std::uint64_t>(largestBody);
    dispatcher.maxOpenRequests = callers.maxOpenRequests;
    return readEndpoint(file, reader, "callers", "listen", &callers.listen);
}

std::optional<std::string> RouterSettings::readPlatform(const IniFile &file)
{
    IniReader reader(file, "platform");
    reader.require("service")
        .takeDuration("call_limit", milliseconds(10), seconds(60), &platform.callTimeout)
        .takeDuration("watch_wait", milliseconds(100), seconds(300), &platform.watchTimeout)
        .takeDuration("member_interval", milliseconds(50), seconds(60),
                      &platform.memberPollInterval)
        .takeDuration("longest_pause", milliseconds(50), seconds(60), &platform.maxRetryDelay);
    return readEndpoint(file, reader, "platform", "service", &platform.service);
}

std::optional<std::string> RouterSettings::readOperatorsSection(const IniFile &file)
{
    return readOperators(file, &operators);
}

std::optional<std::string> RouterSettings::readLogSection(const IniFile &file)
{
    return readLog(file, &logLevel);
}

} // namespace reachlead

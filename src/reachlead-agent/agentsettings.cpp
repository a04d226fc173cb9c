// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentsettings.h"

#include <array>

#include <fmt/format.h>

#include "operators/daemon.h"
#include "operators/readsettings.h"

namespace reachlead {

namespace {

std::optional<std::string> readAgent(const IniFile &file, AgentSettings *out)
{
    SessionServer::Options &sessions = out->sessions;
    std::string model;
    std::string service;
    std::int64_t least = sessions.tuning.window.minSize;
    std::int64_t first = sessions.tuning.window.initialSize;
    std::int64_t most = sessions.tuning.window.maxSize;
    auto queueBound = static_cast<std::int64_t>(sessions.tuning.queueBound);
    Endpoint listen{sessions.address, sessions.port};
    IniReader reader(file, "agent");
    reader.require("vm")
        .require("zone")
        .require("listen")
        .takeText("vm", &sessions.vm.text)
        .takeText("zone", &sessions.zone.text)
        .takeText("model", &model)
        .takeText("service", &service)
        .takeText("software_version", &sessions.softwareVersion.text)
        .takeText("fleet_key_file", &out->fleetKeyFile)
        .takeInteger("window_least", 1, 100'000, &least)
        .takeInteger("window_first", 1, 100'000, &first)
        .takeInteger("window_most", 1, 100'000, &most)
        .takeInteger("queue_bound", 0, 100'000, &queueBound)
        .takeDuration("reattach_grace", milliseconds(100), seconds(60),
                      &sessions.tuning.reattachGrace)
        .takeDuration("stop_limit", seconds(1), seconds(3600), &out->stopLimit);
    if (auto fault = readEndpoint(file, reader, "agent", "listen", &listen))
        return fault;
    if (model.empty() == service.empty())
        return fmt::format("{}: section 'agent': expected one of 'model' and 'service'",
                           file.source());
    if (least > first || first > most)
        return fmt::format("{}: section 'agent': expected window_least <= window_first <= "
                           "window_most, found {}, {}, {}",
                           file.source(), least, first, most);
    sessions.target = model.empty() ? serviceTarget(service) : modelTarget(model);
    sessions.address = listen.address;
    sessions.port = listen.port;
    sessions.tuning.window = {static_cast<std::uint32_t>(least), static_cast<std::uint32_t>(most),
                              static_cast<std::uint32_t>(first)};
    sessions.tuning.queueBound = static_cast<std::size_t>(queueBound);
    return std::nullopt;
}

} // namespace

std::optional<std::string> AgentSettings::read(const IniFile &file)
{
    using Reader = std::optional<std::string> (AgentSettings::*)(const IniFile &);
    constexpr std::array<Reader, 5> readers{
        &AgentSettings::readAgentSection, &AgentSettings::readUpstream,
        &AgentSettings::readPlatform, &AgentSettings::readOperatorsSection,
        &AgentSettings::readLogSection};
    if (auto fault = unknownSection(file, {"agent", "upstream", "platform", "operators", "log"}))
        return fault;
    for (const Reader reader : readers) {
        if (auto fault = (this->*reader)(file))
            return fault;
    }
    return std::nullopt;
}

std::optional<std::string> AgentSettings::readAgentSection(const IniFile &file)
{
    if (auto fault = readAgent(file, this))
        return fault;
    return FleetKeyFile(fleetKeyFile).open();
}

std::optional<std::string> AgentSettings::readUpstream(const IniFile &file)
{
    IniReader reader(file, "upstream");
    reader.require("endpoint")
        .takeDuration("connect_limit", milliseconds(10), seconds(60), &upstream.connectTimeout)
        .takeDuration("stall_limit", milliseconds(100), seconds(600), &upstream.stallTimeout)
        .takeDuration("service_limit", milliseconds(100), seconds(3600), &upstream.serviceTimeout);
    return readEndpoint(file, reader, "upstream", "endpoint", &upstream.upstream);
}

std::optional<std::string> AgentSettings::readPlatform(const IniFile &file)
{
    IniReader reader(file, "platform");
    Endpoint endpoint;
    const bool given = reader.has("service");
    reader.takeDuration("call_limit", milliseconds(10), seconds(60), &platformLimit);
    auto fault = readEndpoint(file, reader, "platform", "service", &endpoint);
    if (given)
        platform = endpoint;
    return fault;
}

std::optional<std::string> AgentSettings::readOperatorsSection(const IniFile &file)
{
    return readOperators(file, &operators);
}

std::optional<std::string> AgentSettings::readLogSection(const IniFile &file)
{
    return readLog(file, &logLevel);
}

} // namespace reachlead

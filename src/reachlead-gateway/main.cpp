// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateway: forwards callers' requests to upstreams according to the platform's configuration.

#include <fstream>
#include <sstream>

#include <reachlead/crashhandler.h>
#include <reachlead/log.h>

#include "gatewaydaemon.h"
#include "operators/daemon.h"
#include "platform/headers.h"
#include "platform/platformsource.h"
#include "platform/streamstore.h"
#include "platform/usageapi.h"

int main(int argc, char **argv)
{
    using namespace reachlead;
    installCrashHandler();
    GatewaySettings settings;
    std::string path;
    DaemonMain program;
    program.program = "reachlead-gateway";
    program.summary = "forwards callers' requests to upstreams by the platform's configuration";
    program.check = [&](const IniFile &file) {
        path = file.source();
        return settings.read(file);
    };
    const auto reload = [&]() -> std::optional<GatewaySettings> {
        const std::ifstream in(path, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        std::string reason = "the file cannot be read";
        const auto file = in ? IniFile::parse(text.str(), path, &reason) : std::nullopt;
        GatewaySettings reloaded;
        const auto error = file ? reloaded.read(*file) : std::optional(reason);
        if (!error)
            return reloaded;
        LogLine(LogLevel::Error, "settings-refused").with("reason", *error);
        return std::nullopt;
    };
    const auto source = [&](boost::asio::io_context &io,
                            Counters *counters) -> std::unique_ptr<FleetSource> {
        platform::PlatformSource::Options options;
        options.store = settings.store;
        options.counters = counters;
        options.verifyLimit = settings.state.watcherElection.staleLimit;
        options.followsEvacuations = settings.state.followsEvacuations;
        return std::make_unique<platform::PlatformSource>(io, options);
    };
    const auto usagePlatform = [&](boost::asio::io_context &io) -> std::unique_ptr<UsagePlatform> {
        return std::make_unique<platform::UsageApi>(
            io, platform::UsageApi::Options{settings.store, settings.usageApi});
    };
    const auto streamArchive = [&](boost::asio::io_context &io) -> std::unique_ptr<StreamArchive> {
        return std::make_unique<platform::StreamStore>(io, settings.store, settings.state.vm);
    };
    program.run = [&] {
        setLogLevel(static_cast<LogLevel>(settings.logLevel));
        const platform::PlatformHeaderCodec headerCodec;
        GatewayDaemon daemon(settings, headerCodec, source, usagePlatform, streamArchive, reload);
        daemon.run();
    };
    return program(argc, argv);
}

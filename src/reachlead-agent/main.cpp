// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The agent: a thin program over the library.

#include <fmt/format.h>

#include <reachlead/log.h>

#include "agentdaemon.h"
#include "operators/daemon.h"

int main(int argc, char **argv)
{
    using namespace reachlead;
    StopSignal stop;
    AgentSettings settings;
    DaemonMain program;
    program.program = "reachlead-agent";
    program.summary = "the only gate to the upstream beside it";
    program.check = [&](const IniFile &file) { return settings.read(file); };
    program.run = [&] {
        setLogLevel(static_cast<LogLevel>(settings.logLevel));
        AgentDaemon daemon(settings);
        fmt::print("sessions={} operators={}\n", daemon.sessionPort(), daemon.operatorPort());
        std::fflush(stdout);
        stop.wait();
        daemon.stop();
    };
    return program(argc, argv);
}

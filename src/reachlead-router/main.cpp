// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The router: a thin program over the library.

#include <fmt/format.h>

#include <reachlead/log.h>

#include "operators/daemon.h"
#include "routerdaemon.h"

int main(int argc, char **argv)
{
    using namespace reachlead;
    StopSignal stop;
    RouterSettings settings;
    DaemonMain program;
    program.program = "reachlead-router";
    program.summary = "takes callers' requests and places them on upstreams";
    program.check = [&](const IniFile &file) { return settings.read(file); };
    program.run = [&] {
        setLogLevel(static_cast<LogLevel>(settings.logLevel));
        RouterDaemon daemon(settings);
        fmt::print("callers={} operators={}\n", daemon.callerPort(), daemon.operatorPort());
        std::fflush(stdout);
        stop.wait();
        daemon.stop();
    };
    return program(argc, argv);
}

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Common parts of the daemons' main functions: command line, settings file, signals.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include <reachlead/inifile.h>

namespace reachlead {

enum class ExitCode : int { Success = 0, Failed = 1, BadUsage = 2, BadSettings = 3 };

/// Parses the options `--help`, `--version`, `--check-settings` and `--settings FILE`, reads the
/// settings file and passes it to \p check, which returns the first error in it, if any. Then calls
/// \p run, unless only a check was requested.
///
/// \p run is not called, and so no socket is opened, before \p check has accepted the file.
struct DaemonMain
{
    std::string program;
    std::string summary;
    std::function<std::optional<std::string>(const IniFile &)> check;
    std::function<void()> run;

    int operator()(int argc, char **argv) const;
};

/// Returns an error if the file has a section that is not in \p known.
std::optional<std::string> unknownSection(const IniFile &file,
                                          const std::vector<std::string_view> &known);

/// Waits for SIGTERM or SIGINT. The signals stay blocked, so further ones during a stop have no
/// effect.
class StopSignal
{
public:
    StopSignal();
    ~StopSignal() = default;
    StopSignal(const StopSignal &) = delete;
    StopSignal &operator=(const StopSignal &) = delete;

    /// Blocks until the process receives a stop signal.
    void wait();

    /// Makes wait() return, by sending SIGTERM to this process.
    static void raise();
};

} // namespace reachlead

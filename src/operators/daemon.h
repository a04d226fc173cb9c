// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the daemons' main functions have in common: the command line, the settings file, signals.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include <reachlead/inifile.h>

namespace reachlead {

/// How a program ends.
enum class ExitCode : int { Success = 0, Failed = 1, BadUsage = 2, BadSettings = 3 };

/// Reads `--help`, `--version`, `--check-settings` and `--settings FILE`, then the file. Runs
/// \p run with the parsed file; \p check alone when asked to check only. Both return the first
/// fault in the file, or nothing.
///
/// Nothing is opened before \p check found no fault.
struct DaemonMain
{
    std::string program;
    std::string summary;
    std::function<std::optional<std::string>(const IniFile &)> check;
    std::function<void()> run;

    int operator()(int argc, char **argv) const;
};

/// The last fault of sections that nobody knows; empty when all are in \p known.
std::optional<std::string> unknownSection(const IniFile &file,
                                          const std::vector<std::string_view> &known);

/// Waits for SIGTERM or SIGINT. Further signals are counted and change nothing: a stop during a
/// stop goes on as it was.
class StopSignal
{
public:
    StopSignal();
    ~StopSignal() = default;
    StopSignal(const StopSignal &) = delete;
    StopSignal &operator=(const StopSignal &) = delete;

    /// Returns when the process was told to stop.
    void wait();

    /// Has wait() return, as a signal would.
    static void raise();
};

} // namespace reachlead

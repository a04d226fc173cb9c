// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "operators/daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <reachlead/allocator.h>
#include <reachlead/log.h>

namespace reachlead {

namespace po = boost::program_options;

namespace {

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int code(ExitCode exit)
{
    return static_cast<int>(exit);
}

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

int DaemonMain::operator()(int argc, char **argv) const
{
    po::options_description options(fmt::format("{}: {}\n\nOptions", program, summary));
    options.add_options()("help,h", "show this text")("version", "show the version")(
        "settings,s", po::value<std::string>(),
        "the settings file (INI)")("check-settings", "check the settings file and exit");
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, options), arguments);
    } catch (const po::error &e) {
        std::cerr << program << ": " << e.what() << "\n";
        return code(ExitCode::BadUsage);
    }
    if (arguments.contains("help")) {
        std::cout << options;
        return code(ExitCode::Success);
    }
    if (arguments.contains("version")) {
        std::cout << program << " " << REACHLEAD_VERSION << "\n";
        return code(ExitCode::Success);
    }
    if (!arguments.contains("settings")) {
        std::cerr << program << ": --settings FILE is required\n";
        return code(ExitCode::BadUsage);
    }
    const auto path = arguments["settings"].as<std::string>();
    const std::optional<std::string> text = readFile(path);
    std::string reason = fmt::format("{}: cannot be read", path);
    std::optional<IniFile> file;
    if (text)
        file = IniFile::parse(*text, path, &reason);
    if (file) {
        if (const auto fault = check(*file)) {
            reason = *fault;
            file.reset();
        }
    }
    if (!file) {
        std::cerr << program << ": " << reason << "\n";
        return code(ExitCode::BadSettings);
    }
    if (arguments.contains("check-settings"))
        return code(ExitCode::Success);
    returnFreedMemory();
    setLogProgram(program);
    const BackgroundLog background;
    try {
        run();
    } catch (const std::exception &e) {
        LogLine(LogLevel::Error, "failed").with("reason", e.what());
        return code(ExitCode::Failed);
    }
    return code(ExitCode::Success);
}

std::optional<std::string> unknownSection(const IniFile &file,
                                          const std::vector<std::string_view> &known)
{
    for (const auto &[section, entries] : file.sections()) {
        if (std::ranges::find(known, section) == known.end())
            return fmt::format("{}: section '{}': expected one of {}", file.source(), section,
                               fmt::join(known, ", "));
    }
    return std::nullopt;
}

StopSignal::StopSignal()
{
    // Blocked before any thread starts, so that all threads inherit the mask and only wait()
    // receives the signals.
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait()
{
    const sigset_t set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
    LogLine(LogLevel::Info, "stop").with("signal", received);
}

void StopSignal::raise()
{
    (void)kill(getpid(), SIGTERM);
}

} // namespace reachlead

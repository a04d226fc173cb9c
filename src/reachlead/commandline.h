// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the commands of the operators' command line have in common.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <reachlead/counters.h>
#include <reachlead/http.h>
#include <reachlead/platform.h>

namespace reachlead::cli {

/// The exit codes; scripts may rely on them.
enum class Exit : int {
    Good = 0,
    Failed = 1,
    BadUsage = 2,
    NotValid = 3, ///< the settings tree would not be valid; nothing was written
    Conflict = 4, ///< somebody else wrote first; nothing was written
    PlatformAway = 5, ///< nothing was written
    NotInForce = 6 ///< written, but some VM lags; it is named
};

/// Where the fleet is: the file given by --fleet.
struct Fleet
{
    Endpoint platform;
    std::string key; ///< for the operators' pages
    std::map<std::string, Endpoint> vms; ///< operators' pages by VM
    std::string who; ///< the operator's name, for logs and changes

    /// Reads the file; the first fault, if any.
    static std::optional<std::string> read(const std::string &path, Fleet *out);
};

/// Runs a coroutine to its end.
template <class T> T await(boost::asio::awaitable<T> work)
{
    boost::asio::io_context io{1};
    auto result = boost::asio::co_spawn(io, std::move(work), boost::asio::use_future);
    io.run();
    return result.get();
}

/// What every command gets.
struct Context
{
    Fleet fleet;
    bool json = false;
    std::vector<std::string> words; ///< the command's words behind its name
    std::optional<std::uint64_t> expected; ///< --expected
    std::string parent; ///< --parent
    Duration wait = seconds(4); ///< --wait: for a change to be in force
};

/// Asks a VM's operators' page; empty when it does not answer.
std::optional<HttpResponse> askVm(const Fleet &fleet, const std::string &vm,
                                  const std::string &method, const std::string &path);

/// A command; its messages go to standard output, faults to standard error.
using Command = Exit (*)(const Context &);

// settings (settingscommands.cpp)
Exit settingsGet(const Context &context);
Exit settingsSet(const Context &context);
Exit settingsDelete(const Context &context);
Exit settingsApply(const Context &context);
Exit settingsDiff(const Context &context);
Exit settingsExport(const Context &context);
Exit settingsExplain(const Context &context);
Exit accountCreate(const Context &context);

// the fleet (fleetcommands.cpp)
Exit status(const Context &context);
Exit drain(const Context &context);
Exit undrain(const Context &context);
Exit route(const Context &context);
Exit counters(const Context &context);
Exit top(const Context &context);

/// Waits until every router holds \p version; names those that lag.
Exit waitInForce(const Context &context, ObjectVersion version);

} // namespace reachlead::cli

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' command line.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <reachlead/inifile.h>

#include "commandline.h"

namespace reachlead::cli {

std::optional<std::string> Fleet::read(const std::string &path, Fleet *out)
{
    std::ostringstream text;
    const std::ifstream in(path, std::ios::binary);
    if (!in)
        return path + ": cannot be read";
    text << in.rdbuf();
    std::string reason;
    const auto file = IniFile::parse(text.str(), path, &reason);
    if (!file)
        return reason;
    for (const auto &[section, entries] : file->sections()) {
        if (section == "vms") {
            for (const auto &[vm, entry] : entries) {
                const auto endpoint = Endpoint::parse(entry.value);
                if (!endpoint)
                    return fmt::format("{}:{}: expected IP-NUMBER:PORT", path, entry.line);
                out->vms[vm] = *endpoint;
            }
        }
    }
    std::string service;
    IniReader platform(*file, "platform");
    platform.require("service").takeText("service", &service);
    if (auto fault = platform.finish())
        return fault;
    const auto endpoint = Endpoint::parse(service);
    if (!endpoint)
        return fmt::format("{}: key 'service': expected IP-NUMBER:PORT", path);
    out->platform = *endpoint;
    IniReader operators(*file, "operators");
    operators.takeText("key", &out->key).takeText("who", &out->who);
    return operators.finish();
}

namespace {

namespace po = boost::program_options;

struct Row
{
    std::string_view name;
    Command run;
    std::string_view text;
};

constexpr std::array<Row, 14> commands{
    {{"settings get", settingsGet, "[PATH]         list the nodes, or print one"},
     {"settings set", settingsSet,
      "PATH FILE      check the whole tree, write, wait until in force"},
     {"settings delete", settingsDelete, "PATH        remove a node"},
     {"settings apply", settingsApply, "FOLDER       write what differs, as one folder of files"},
     {"settings diff", settingsDiff, "FOLDER        show what apply would change"},
     {"settings export", settingsExport, "FOLDER      write the tree to files"},
     {"settings explain", settingsExplain, "ACCOUNT    what holds for it, and from which node"},
     {"account create", accountCreate, "NAME         a new account; its key is shown once"},
     {"status", status, "                     each VM, its settings version, laggards"},
     {"drain", drain, "VM                    take no new work, finish what runs"},
     {"undrain", undrain, "VM                  take work again (agents)"},
     {"route", route, "VM TARGET             why a request would go where"},
     {"counters", counters, "VM                 its counters"},
     {"top", top, "                        a live view"}}};

void usage(const po::options_description &options)
{
    std::cout << "reachlead COMMAND: operates a fleet\n\nCommands\n";
    for (const Row &row : commands)
        std::cout << "  " << row.name << " " << row.text << "\n";
    std::cout << "\n" << options;
}

/// The command whose words begin the list; they are taken off.
const Row *findCommand(std::vector<std::string> *words)
{
    for (const Row &row : commands) {
        const auto space = row.name.find(' ');
        const std::size_t n = space == std::string_view::npos ? 1 : 2;
        if (words->size() < n)
            continue;
        const std::string given = n == 1 ? words->front() : words->front() + " " + words->at(1);
        if (given != row.name)
            continue;
        words->erase(words->begin(), words->begin() + static_cast<std::ptrdiff_t>(n));
        return &row;
    }
    return nullptr;
}

Exit runCommand(int argc, char **argv)
{
    po::options_description options("Options");
    options.add_options()("help,h", "show this text")("version", "show the version")(
        "fleet,f", po::value<std::string>(), "the fleet file (INI); else $REACHLEAD_FLEET")(
        "json", "print JSON")("expected", po::value<std::uint64_t>(),
                              "settings: write only if the node stands at this version")(
        "parent", po::value<std::string>()->default_value(""), "account create: its parent")(
        "wait", po::value<std::string>()->default_value("4s"), "how long a change may take");
    po::options_description all;
    all.add(options).add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description places;
    places.add("words", -1);
    po::variables_map given;
    po::store(po::command_line_parser(argc, argv).options(all).positional(places).run(), given);
    if (given.contains("version")) {
        std::cout << "reachlead " << REACHLEAD_VERSION << "\n";
        return Exit::Good;
    }
    Context context;
    if (given.contains("words"))
        context.words = given["words"].as<std::vector<std::string>>();
    const Row *command = findCommand(&context.words);
    if (!command || given.contains("help")) {
        usage(options);
        return given.contains("help") ? Exit::Good : Exit::BadUsage;
    }
    const char *fromEnvironment = std::getenv("REACHLEAD_FLEET");
    std::string fleet = fromEnvironment ? fromEnvironment : "";
    if (given.contains("fleet"))
        fleet = given["fleet"].as<std::string>();
    if (const auto fault = Fleet::read(fleet, &context.fleet)) {
        std::cerr << "reachlead: " << *fault << "\n";
        return Exit::BadUsage;
    }
    const auto wait = parseDuration(given["wait"].as<std::string>());
    if (!wait) {
        std::cerr << "reachlead: --wait: expected a duration with unit\n";
        return Exit::BadUsage;
    }
    context.wait = *wait;
    context.json = given.contains("json");
    context.parent = given["parent"].as<std::string>();
    if (given.contains("expected"))
        context.expected = given["expected"].as<std::uint64_t>();
    return command->run(context);
}

} // namespace

} // namespace reachlead::cli

int main(int argc, char **argv)
{
    using reachlead::cli::Exit;
    try {
        return static_cast<int>(reachlead::cli::runCommand(argc, argv));
    } catch (const boost::program_options::error &e) {
        std::cerr << "reachlead: " << e.what() << "\n";
        return static_cast<int>(Exit::BadUsage);
    } catch (const std::exception &e) {
        std::cerr << "reachlead: " << e.what() << "\n";
        return static_cast<int>(Exit::Failed);
    }
}

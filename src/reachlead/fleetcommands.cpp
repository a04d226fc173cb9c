// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <iostream>
#include <thread>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "commandline.h"

namespace reachlead::cli {

namespace json = boost::json;

namespace {

constexpr Duration pageLimit = seconds(2);
constexpr milliseconds poll{50};

/// Status pages of all VMs; null for one that does not answer.
std::map<std::string, json::value> statusPages(const Context &context)
{
    std::map<std::string, json::value> pages;
    for (const auto &[vm, endpoint] : context.fleet.vms) {
        const auto reply = askVm(context.fleet, vm, "GET", "/status");
        json::error_code ec;
        pages[vm] = reply && reply->status == 200 ? json::parse(reply->body, ec) : json::value();
    }
    return pages;
}

std::string textOf(const json::value &page, const char *name)
{
    const json::value *value = page.is_object() ? page.get_object().if_contains(name) : nullptr;
    if (!value)
        return "-";
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

std::uint64_t settingsVersion(const json::value &page)
{
    return page.at("settings").at("version").to_number<std::uint64_t>();
}

void printTable(const std::map<std::string, json::value> &pages)
{
    std::cout << fmt::format("{:20} {:7} {:16} {:9} {:>8} {:>8} {}\n", "VM", "ROLE", "ZONE",
                             "SETTINGS", "RUNNING", "QUEUED", "NOTE");
    for (const auto &[vm, page] : pages) {
        if (!page.is_object()) {
            std::cout << fmt::format("{:20} does not answer\n", vm);
            continue;
        }
        const bool isRouter = textOf(page, "role") == "router";
        const std::string settings = isRouter ? std::to_string(settingsVersion(page)) : "-";
        const std::string running = textOf(page, isRouter ? "open_requests" : "running");
        std::string note = textOf(page, "leaving") == "true" ? "leaving" : "";
        if (isRouter) {
            const json::value &state = page.at("settings");
            if (!state.at("platform_up").as_bool())
                note = "platform away";
            if (!state.at("reason").as_string().empty())
                note = "settings: " + std::string(state.at("reason").as_string());
        }
        std::cout << fmt::format("{:20} {:7} {:16} {:9} {:>8} {:>8} {}\n", vm, textOf(page, "role"),
                                 textOf(page, "zone"), settings, running, textOf(page, "queued"),
                                 note);
    }
}

Exit order(const Context &context, const std::string &path)
{
    if (context.words.size() != 1) {
        std::cerr << "usage: reachlead " << path.substr(1) << " VM\n";
        return Exit::BadUsage;
    }
    const auto reply = askVm(context.fleet, context.words.front(), "POST", path);
    if (!reply || reply->status != 200) {
        std::cerr << context.words.front() << ": "
                  << (reply ? reply->body : std::string("does not answer")) << "\n";
        return Exit::Failed;
    }
    std::cout << reply->body << "\n";
    return Exit::Good;
}

} // namespace

std::optional<HttpResponse> askVm(const Fleet &fleet, const std::string &vm,
                                  const std::string &method, const std::string &path)
{
    const auto it = fleet.vms.find(vm);
    if (it == fleet.vms.end())
        return std::nullopt;
    HttpRequest ask;
    ask.method = method;
    ask.path = path;
    ask.headers = {{"Authorization", "Bearer " + fleet.key}, {"Reachlead-Operator", fleet.who}};
    std::string reason;
    return await(httpCall(it->second, std::move(ask), pageLimit, &reason));
}

Exit waitInForce(const Context &context, ObjectVersion version)
{
    const auto limit = RuntimeClock::now() + context.wait;
    std::vector<std::string> lagging;
    do {
        lagging.clear();
        for (const auto &[vm, page] : statusPages(context)) {
            const bool answers = page.is_object();
            if (answers && textOf(page, "role") != "router")
                continue;
            if (!answers || settingsVersion(page) < static_cast<std::uint64_t>(version))
                lagging.push_back(vm);
        }
        if (lagging.empty()) {
            std::cout << "in force everywhere\n";
            return Exit::Good;
        }
        std::this_thread::sleep_for(poll);
    } while (RuntimeClock::now() < limit);
    std::cerr << fmt::format("written, but not seen in force at: {}\n", fmt::join(lagging, ", "));
    return Exit::NotInForce;
}

Exit status(const Context &context)
{
    const auto pages = statusPages(context);
    if (context.json) {
        json::object all;
        for (const auto &[vm, page] : pages)
            all[vm] = page;
        std::cout << json::serialize(all) << "\n";
    } else {
        printTable(pages);
    }
    const bool allAnswer =
        std::ranges::all_of(pages, [](const auto &it) { return it.second.is_object(); });
    return allAnswer ? Exit::Good : Exit::Failed;
}

Exit drain(const Context &context)
{
    return order(context, "/drain");
}

Exit undrain(const Context &context)
{
    return order(context, "/undrain");
}

Exit route(const Context &context)
{
    if (context.words.size() != 2) {
        std::cerr << "usage: reachlead route VM model:NAME|service:NAME\n";
        return Exit::BadUsage;
    }
    const auto reply = askVm(context.fleet, context.words[0], "GET",
                             "/route?target=" + encodeQuery(context.words[1]));
    if (!reply || reply->status != 200)
        return Exit::Failed;
    if (context.json) {
        std::cout << reply->body << "\n";
        return Exit::Good;
    }
    std::cout << fmt::format("{:20} {:16} {:>6} {:>8} {:>8} {}\n", "AGENT", "ZONE", "WINDOW",
                             "RUNNING", "COST", "RULED OUT");
    const json::value answer = json::parse(reply->body);
    for (const json::value &row : answer.at("candidates").as_array()) {
        std::cout << fmt::format("{:20} {:16} {:>6} {:>8} {:>8.3f} {}\n", textOf(row, "agent"),
                                 textOf(row, "zone"), textOf(row, "window"), textOf(row, "running"),
                                 row.at("cost").to_number<double>(), textOf(row, "ruled_out"));
    }
    return Exit::Good;
}

Exit counters(const Context &context)
{
    if (context.words.size() != 1) {
        std::cerr << "usage: reachlead counters VM\n";
        return Exit::BadUsage;
    }
    const auto reply = askVm(context.fleet, context.words.front(), "GET", "/metrics");
    if (!reply || reply->status != 200)
        return Exit::Failed;
    std::cout << reply->body;
    return Exit::Good;
}

Exit top(const Context &context)
{
    for (;;) {
        std::cout << "\x1b[H\x1b[2J"; // home, clear
        printTable(statusPages(context));
        std::cout << std::flush;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

} // namespace reachlead::cli

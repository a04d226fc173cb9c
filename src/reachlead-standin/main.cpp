// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Simulated components for tests, the demo and the benchmark:
/// `reachlead-standin platform|engine|service`.

#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <reachlead/http.h>
#include <reachlead/inifile.h>

#include "enginestandin.h"
#include "platformstandin.h"
#include "servicestandin.h"

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using namespace reachlead;
using namespace reachlead::standin;

Duration durationOption(const po::variables_map &given, const char *name)
{
    const auto parsed = parseDuration(given[name].as<std::string>());
    if (!parsed)
        throw std::runtime_error(fmt::format("--{}: expected a duration with unit", name));
    return *parsed;
}

void printPort(std::uint16_t port)
{
    fmt::print("listening={}\n", port);
    std::fflush(stdout);
}

void runPlatform(asio::io_context &io, const Endpoint &listen)
{
    PlatformStandin platform(io);
    HttpServer server(io, listen,
                      [&](HttpRequest request) { return platform.serve(std::move(request)); });
    printPort(server.port());
    io.run();
}

void runService(asio::io_context &io, const Endpoint &listen, const std::string &name)
{
    ServiceStandin service(io, name);
    HttpServer server(io, listen,
                      [&](HttpRequest request) { return service.serve(std::move(request)); });
    printPort(server.port());
    io.run();
}

void runEngine(asio::io_context &io, const Endpoint &listen, const EngineSpeed &speed)
{
    EngineStandin engine(io, listen, speed);
    printPort(engine.port());
    io.run();
}

po::options_description describeOptions()
{
    po::options_description options(
        "reachlead-standin platform|engine|service: simulated components\n\nOptions");
    options.add_options()("help,h", "show this text")("version", "show the version")(
        "kind", po::value<std::string>(), "platform, engine or service")(
        "listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP-NUMBER:PORT")(
        "name", po::value<std::string>()->default_value("service"), "name of a service")(
        "step", po::value<std::string>()->default_value("10ms"), "time of an engine for one token")(
        "step-per-request", po::value<std::string>()->default_value("200us"),
        "added for each further request in the batch")(
        "prefill", po::value<std::string>()->default_value("20ms"), "time before the first token")(
        "batch", po::value<std::size_t>()->default_value(64), "number of concurrent requests");
    return options;
}

int runStandin(const po::variables_map &given)
{
    const auto listen = Endpoint::parse(given["listen"].as<std::string>());
    if (!listen)
        throw std::runtime_error("--listen: expected IP-NUMBER:PORT");
    asio::io_context io{1};
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    const auto kind = given["kind"].as<std::string>();
    if (kind == "platform") {
        runPlatform(io, *listen);
    } else if (kind == "service") {
        runService(io, *listen, given["name"].as<std::string>());
    } else if (kind == "engine") {
        EngineSpeed speed;
        speed.step = durationOption(given, "step");
        speed.stepPerRequest = durationOption(given, "step-per-request");
        speed.prefill = durationOption(given, "prefill");
        speed.batch = given["batch"].as<std::size_t>();
        runEngine(io, *listen, speed);
    } else {
        throw std::runtime_error("expected platform, engine or service");
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const po::options_description options = describeOptions();
    po::positional_options_description places;
    places.add("kind", 1);
    try {
        po::variables_map given;
        po::store(po::command_line_parser(argc, argv).options(options).positional(places).run(),
                  given);
        if (given.contains("version")) {
            std::cout << "reachlead-standin " << REACHLEAD_VERSION << "\n";
            return 0;
        }
        if (given.contains("help") || !given.contains("kind")) {
            std::cout << options;
            return given.contains("help") ? 0 : 2;
        }
        return runStandin(given);
    } catch (const std::exception &e) {
        std::cerr << "reachlead-standin: " << e.what() << "\n";
        return 2;
    }
}

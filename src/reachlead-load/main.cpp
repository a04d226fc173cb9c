// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Load and experiments: `reachlead-load http|policy|cost|crowd`.

#include <iostream>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <reachlead/inifile.h>

#include "crowd.h"
#include "httpload.h"
#include "policybench.h"

namespace {

namespace po = boost::program_options;
using namespace reachlead;

po::options_description describe()
{
    po::options_description options(
        "reachlead-load http|policy|cost|crowd: load and experiments\n\nOptions");
    options.add_options()("help,h", "show this text")("version", "show the version")(
        "kind", po::value<std::string>(),
        "http, policy, cost or crowd")("target", po::value<std::vector<std::string>>(),
                                       "http, crowd: IP-NUMBER:PORT, may be repeated")(
        "key", po::value<std::string>()->default_value(""),
        "http: ACCOUNT:SECRET; crowd: keys, separated by commas")(
        "model", po::value<std::string>()->default_value("m"),
        "http: the model")("class", po::value<std::string>()->default_value(""), "http: the class")(
        "rate", po::value<double>()->default_value(0), "http: requests a second; 0: closed loop")(
        "streams", po::value<std::size_t>()->default_value(1), "http: streams held open")(
        "length", po::value<std::string>()->default_value("5s"), "http: how long requests start")(
        "tokens", po::value<std::uint64_t>()->default_value(64),
        "http: tokens of each answer")("seed", po::value<std::uint64_t>()->default_value(1),
                                       "the (first) seed")("progress", "http: a line each second")(
        "scenario", po::value<std::string>()->default_value("race-start"),
        "policy: morning-returns or race-start")("fault",
                                                 po::value<std::string>()->default_value("none"),
                                                 "policy: none, straggler, crash or outage")(
        "seeds", po::value<unsigned>()->default_value(5), "policy: seeds to take the median of")(
        "flood", "policy: one account sends 20 times its part")(
        "csv", po::value<std::string>()->default_value(""), "policy: also write a CSV file")(
        "shape", po::value<std::string>()->default_value(""),
        fmt::format("crowd: {}", fmt::join(crowdShapeNames(), ", ")).c_str())(
        "clients", po::value<std::size_t>()->default_value(60), "crowd: connections")(
        "path", po::value<std::string>()->default_value("/"), "crowd: of the requests")(
        "header", po::value<std::vector<std::string>>()->default_value({}, ""),
        "crowd: a line of each head, may be repeated")(
        "body", po::value<std::size_t>()->default_value(1U << 20U), "crowd: bytes of a long body");
    return options;
}

int runHttp(const po::variables_map &given)
{
    LoadPlan plan;
    if (!given.contains("target"))
        throw std::runtime_error("--target is required");
    for (const std::string &text : given["target"].as<std::vector<std::string>>()) {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint)
            throw std::runtime_error("--target: expected IP-NUMBER:PORT, found " + text);
        plan.targets.push_back(*endpoint);
    }
    const auto length = parseDuration(given["length"].as<std::string>());
    if (!length)
        throw std::runtime_error("--length: expected a duration with unit");
    plan.length = *length;
    plan.key = given["key"].as<std::string>();
    plan.model = given["model"].as<std::string>();
    plan.cls = given["class"].as<std::string>();
    plan.rate = given["rate"].as<double>();
    plan.streams = given["streams"].as<std::size_t>();
    plan.tokens = given["tokens"].as<std::uint64_t>();
    plan.seed = given["seed"].as<std::uint64_t>();
    plan.progress = given.contains("progress");
    HttpLoadReport report = HttpLoad(plan).run();
    std::cout << report.json() << std::endl;
    return report.wrong == 0 ? 0 : 1;
}

int runPolicy(const po::variables_map &given)
{
    bench::PolicyPlan plan;
    plan.scenario = given["scenario"].as<std::string>();
    plan.fault = given["fault"].as<std::string>();
    plan.firstSeed = given["seed"].as<std::uint64_t>();
    plan.seeds = given["seeds"].as<unsigned>();
    plan.flood = given.contains("flood");
    plan.csv = given["csv"].as<std::string>();
    std::cout << bench::runPolicyBench(plan);
    return 0;
}

int runCrowd(const po::variables_map &given)
{
    CrowdPlan plan;
    const auto endpoint = given.contains("target")
        ? Endpoint::parse(given["target"].as<std::vector<std::string>>().front())
        : std::nullopt;
    if (!endpoint)
        throw std::runtime_error("--target: expected IP-NUMBER:PORT");
    plan.target = *endpoint;
    const auto keys = given["key"].as<std::string>();
    if (!keys.empty())
        boost::algorithm::split(plan.keys, keys, boost::algorithm::is_any_of(","));
    plan.shape = given["shape"].as<std::string>();
    plan.clients = given["clients"].as<std::size_t>();
    plan.path = given["path"].as<std::string>();
    for (const std::string &line : given["header"].as<std::vector<std::string>>())
        plan.commonFields += line + "\r\n";
    plan.bodyBytes = given["body"].as<std::size_t>();
    boost::asio::io_context io{1};
    Crowd crowd(io, plan);
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const po::options_description options = describe();
    po::positional_options_description places;
    places.add("kind", 1);
    try {
        po::variables_map given;
        po::store(po::command_line_parser(argc, argv).options(options).positional(places).run(),
                  given);
        if (given.contains("version")) {
            std::cout << "reachlead-load " << REACHLEAD_VERSION << "\n";
            return 0;
        }
        if (given.contains("help") || !given.contains("kind")) {
            std::cout << options;
            return given.contains("help") ? 0 : 2;
        }
        const auto kind = given["kind"].as<std::string>();
        if (kind == "http")
            return runHttp(given);
        if (kind == "policy")
            return runPolicy(given);
        if (kind == "cost") {
            std::cout << bench::runCostBench();
            return 0;
        }
        if (kind == "crowd")
            return runCrowd(given);
        throw std::runtime_error("expected http, policy, cost or crowd, found " + kind);
    } catch (const std::exception &e) {
        std::cerr << "reachlead-load: " << e.what() << "\n";
        return 2;
    }
}

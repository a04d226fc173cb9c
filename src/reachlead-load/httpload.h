// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Load over HTTP: open loop at a rate, or a number of streams held open; every answer is checked
/// against what its prompt decides.

#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/http.h>

#include "reachlead-load/measure.h"

namespace reachlead {

struct LoadPlan
{
    std::vector<Endpoint> targets; ///< taken in turn
    std::string key; ///< empty: no Authorization header, as to an engine directly
    std::string model;
    std::string cls; ///< empty: the account's default
    double rate = 0; ///< requests a second, drawn as a Poisson process; 0: closed loop
    std::size_t streams = 1; ///< in a closed loop: streams held open
    Duration length = seconds(5); ///< in which requests start
    std::uint64_t tokens = 64; ///< of each answer
    std::uint64_t seed = 1;
    bool progress = false; ///< a line each second to standard error
};

/// What a run saw. Times are counted from when the request was due, so that a late start counts
/// against the system (no coordinated omission).
struct HttpLoadReport
{
    std::uint64_t started = 0;
    std::uint64_t whole = 0;
    std::uint64_t wrong = 0; ///< content that is not what the prompt decides
    std::uint64_t cut = 0; ///< streams that ended without their last event
    std::map<std::string, std::uint64_t> refused; ///< by kind
    std::uint64_t tokens = 0;
    double seconds = 0;
    Sample firstToken; ///< ms
    Sample betweenTokens; ///< ms

    std::string json();
};

/// Runs a plan on one thread.
class HttpLoad
{
public:
    explicit HttpLoad(LoadPlan plan) : m_plan(std::move(plan)), m_random(m_plan.seed) { }
    HttpLoadReport run();

private:
    using Clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> openLoop();
    boost::asio::awaitable<void> closedLoop();
    boost::asio::awaitable<void> request(Clock::time_point due, std::uint64_t number);
    boost::asio::awaitable<void> report();
    void note(const std::string &text, const std::string &expected, bool done);
    HttpRequest askFor(const std::string &prompt) const;

    LoadPlan m_plan;
    std::mt19937_64 m_random;
    boost::asio::io_context m_io{1};
    HttpLoadReport m_report;
    std::uint64_t m_next = 0;
    std::size_t m_open = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A simulated platform service: versioned objects, conditional updates, watches, a membership list
/// and fault injection.

#pragma once

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <reachlead/http.h>
#include <reachlead/platform.h>

namespace reachlead::standin {

/// Faults set by `POST /faults`, as JSON.
struct PlatformFaults
{
    bool down = false; ///< answers 503 to everything except /faults, /counts and PUT /members
    std::uint64_t loseReplies =
        0; ///< number of next writes that take effect but get 500 instead of their reply
    std::uint64_t staleReads = 0; ///< reads return the state from this many changes ago
    std::uint64_t slowMillis = 0; ///< delay of each answer
};

class PlatformStandin
{
public:
    explicit PlatformStandin(boost::asio::io_context &io) : m_io(io) { }

    /// The handler for an HttpServer on the same io_context.
    boost::asio::awaitable<HttpResponse> serve(HttpRequest request);

private:
    struct Change
    {
        PlatformObject object;
    };

    boost::asio::awaitable<HttpResponse> watch(HttpRequest request);
    HttpResponse read(const HttpRequest &request) const;
    HttpResponse write(const HttpRequest &request);
    HttpResponse setFaults(const HttpRequest &request);
    HttpResponse setMembers(const HttpRequest &request);
    HttpResponse counts() const;
    std::vector<PlatformObject> changesAfter(const std::string &prefix, std::uint64_t from) const;
    std::map<std::string, PlatformObject> stateAt(std::uint64_t version) const;

    boost::asio::io_context &m_io;
    std::map<std::string, PlatformObject> m_objects;
    std::deque<PlatformObject> m_changes; ///< all changes, oldest first
    std::uint64_t m_version = 0;
    std::vector<Member> m_members;
    PlatformFaults m_faults;
    std::map<std::string, std::uint64_t> m_calls; ///< by `METHOD /path`
    std::uint64_t m_pendingWatches = 0;
    std::uint64_t m_maxPendingWatches = 0;
};

} // namespace reachlead::standin

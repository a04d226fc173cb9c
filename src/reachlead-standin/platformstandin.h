// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small stand-in for the platform's service: objects with versions, conditional updates,
/// watches, a membership list, and faults that can be switched on.

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

/// Faults by request to `POST /faults`, as JSON with these names.
struct PlatformFaults
{
    bool down = false; ///< answers 503 to everything but /faults and /counts
    std::uint64_t loseReplies = 0; ///< the next so many writes take effect and are not answered
    std::uint64_t staleReads = 0; ///< reads see the store as it was so many changes ago
    std::uint64_t slowMillis = 0; ///< each answer is held back
};

class PlatformStandin
{
public:
    explicit PlatformStandin(boost::asio::io_context &io) : m_io(io) { }

    /// The handler for an HttpServer on the same io_context.
    boost::asio::awaitable<HttpResponse> serve(HttpRequest ask);

private:
    struct Change
    {
        PlatformObject object;
    };

    boost::asio::awaitable<HttpResponse> watch(HttpRequest ask);
    HttpResponse read(const HttpRequest &ask) const;
    HttpResponse write(const HttpRequest &ask);
    HttpResponse setFaults(const HttpRequest &ask);
    HttpResponse setMembers(const HttpRequest &ask);
    HttpResponse counts() const;
    std::vector<PlatformObject> changesAfter(const std::string &prefix, std::uint64_t from) const;
    std::map<std::string, PlatformObject> stateAt(std::uint64_t version) const;

    boost::asio::io_context &m_io;
    std::map<std::string, PlatformObject> m_objects;
    std::deque<PlatformObject> m_log; ///< every change, oldest first
    std::uint64_t m_version = 0;
    std::vector<Member> m_members;
    PlatformFaults m_faults;
    std::map<std::string, std::uint64_t> m_calls; ///< by `METHOD /path`
    std::uint64_t m_waitingWatches = 0;
    std::uint64_t m_mostWaiting = 0;
};

} // namespace reachlead::standin

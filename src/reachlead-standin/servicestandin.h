// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A simulated plain service. It counts the calls that it executes, for tests to compare with what
/// callers were told.

#pragma once

#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <reachlead/http.h>

namespace reachlead::standin {

class ServiceStandin
{
public:
    ServiceStandin(boost::asio::io_context &io, std::string name)
        : m_io(io), m_name(std::move(name))
    { }

    /// The handler for an HttpServer on the same io_context. A request to any path executes
    /// a call, except for `POST /faults` (`slow_ms`, `refuse`) and `GET /runs`.
    boost::asio::awaitable<HttpResponse> serve(HttpRequest ask);

private:
    boost::asio::io_context &m_io;
    std::string m_name;
    std::uint64_t m_runCount = 0;
    std::map<std::string, std::uint64_t> m_runsByRequest; ///< by request id
    std::map<std::string, std::uint64_t> m_runsByKey; ///< by idempotency key
    std::uint64_t m_slowMillis = 0;
    bool m_refuse = false;
};

} // namespace reachlead::standin

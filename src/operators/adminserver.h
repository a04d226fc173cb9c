// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' thread of a daemon: counters, health, status, and orders, each behind a key.

#pragma once

#include <functional>
#include <map>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/http.h>

namespace reachlead {

/// What an operator's key allows.
enum class AdminRole : std::uint8_t { None, Read, Write };

/// Serves the operators' pages. `/healthz` needs no key.
class AdminServer
{
public:
    struct Options
    {
        Endpoint listen;
        std::string readKey; ///< empty: no key needed to read
        std::string writeKey; ///< empty: nobody may change anything
        const Counters *counters = nullptr;
    };

    /// One page; called on the operators' thread.
    struct Page
    {
        AdminRole requiredRole = AdminRole::Read;
        std::function<HttpResponse(const HttpRequest &)> serve;
    };

    /// Pages are named `METHOD PATH`, as `POST /drain`.
    AdminServer(Options options, std::map<std::string, Page> pages);
    ~AdminServer();

    std::uint16_t port() const { return m_port; }

private:
    HttpResponse answer(const HttpRequest &ask) const;
    AdminRole roleOf(const HttpRequest &ask) const;

    Options m_options;
    std::map<std::string, Page> m_pages;
    boost::asio::io_context m_io{1};
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace reachlead

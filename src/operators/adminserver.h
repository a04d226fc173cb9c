// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' HTTP server of a daemon, on a thread of its own: metrics, health, status and
/// commands, protected by API keys.

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

/// Access level of an operator's key.
enum class AdminRole : std::uint8_t { None, Read, Write };

/// Serves the operators' pages. Those with the role None need no key.
class AdminServer
{
public:
    struct Options
    {
        Endpoint listen;
        std::string readKey; ///< empty: reading needs no key
        std::string writeKey; ///< empty: nobody has write access
        const Counters *counters = nullptr;
    };

    /// One page. Its function is called on the operators' thread.
    struct Page
    {
        AdminRole requiredRole = AdminRole::Read;
        std::function<HttpResponse(const HttpRequest &)> serve;
    };

    /// The key of a page is `METHOD PATH`, such as `POST /drain`.
    AdminServer(Options options, std::map<std::string, Page> pages);
    ~AdminServer();

    std::uint16_t port() const { return m_port; }

private:
    HttpResponse handle(const HttpRequest &request) const;
    AdminRole authenticate(const HttpRequest &request) const;

    Options m_options;
    std::map<std::string, Page> m_pages;
    boost::asio::io_context m_io{1};
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace reachlead

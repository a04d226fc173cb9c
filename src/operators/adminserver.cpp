// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "operators/adminserver.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <reachlead/log.h>

namespace reachlead {

namespace asio = boost::asio;

namespace {

bool keysEqual(const std::string &expected, std::string_view actual)
{
    return expected.size() == actual.size()
        && CRYPTO_memcmp(expected.data(), actual.data(), actual.size()) == 0;
}

HttpResponse textResponse(unsigned status, std::string text)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

} // namespace

AdminServer::AdminServer(Options options, std::map<std::string, Page> pages)
    : m_options(std::move(options)), m_pages(std::move(pages))
{
    m_server = std::make_unique<HttpServer>(
        m_io, m_options.listen,
        [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
            HttpResponse reply = handle(request);
            co_return reply;
        },
        shortRequestLimits);
    m_port = m_server->port();
    m_thread = std::thread([this] { m_io.run(); });
}

AdminServer::~AdminServer()
{
    m_io.stop();
    m_thread.join();
}

AdminRole AdminServer::authenticate(const HttpRequest &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view key = request.header("Authorization");
    if (key.starts_with(scheme))
        key.remove_prefix(scheme.size());
    if (!m_options.writeKey.empty() && keysEqual(m_options.writeKey, key))
        return AdminRole::Write;
    if (m_options.readKey.empty() || keysEqual(m_options.readKey, key))
        return AdminRole::Read;
    return AdminRole::None;
}

HttpResponse AdminServer::handle(const HttpRequest &request) const
{
    const std::string name = fmt::format("{} {}", request.method, request.pathOnly());
    const AdminRole role = authenticate(request);
    if (name == "GET /metrics" && role >= AdminRole::Read)
        return textResponse(200, m_options.counters->page());
    const auto it = m_pages.find(name);
    if (it == m_pages.end())
        return textResponse(404, "no such page\n");
    if (role < it->second.requiredRole)
        return textResponse(403, "this key does not allow it\n");
    if (it->second.requiredRole == AdminRole::Write)
        LogLine(LogLevel::Info, "operator-order")
            .with("order", name)
            .with("who", request.header("Reachlead-Operator"));
    return it->second.serve(request);
}

} // namespace reachlead

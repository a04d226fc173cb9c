// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "servicestandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace reachlead::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::object counted(const std::map<std::string, std::uint64_t> &counts)
{
    json::object object;
    for (const auto &[name, n] : counts)
        object[name] = n;
    return object;
}

HttpResponse reply(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

asio::awaitable<HttpResponse> ServiceStandin::serve(HttpRequest ask)
{
    if (ask.pathOnly() == "/runs") {
        co_return reply(200,
                        json::serialize(json::object{{"total", m_total},
                                                     {"by_request", counted(m_runs)},
                                                     {"by_key", counted(m_byKey)}}));
    }
    if (ask.pathOnly() == "/faults") {
        json::error_code ec;
        const json::value root = json::parse(ask.body, ec);
        if (ec || !root.is_object())
            co_return reply(400, "{}");
        if (const json::value *slow = root.get_object().if_contains("slow_ms"))
            m_slowMillis = slow->to_number<std::uint64_t>();
        if (const json::value *refuse = root.get_object().if_contains("refuse"))
            m_refuse = refuse->as_bool();
        co_return reply(200, "{}");
    }
    if (m_refuse)
        co_return reply(503, "{}");
    ++m_total;
    const std::uint64_t run = ++m_runs[std::string(ask.header("Reachlead-Request-Id"))];
    const std::string key(ask.header("Idempotency-Key"));
    if (!key.empty())
        ++m_byKey[key];
    const std::uint64_t total = m_total;
    if (m_slowMillis > 0) {
        Timer timer(m_io, milliseconds(m_slowMillis));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return reply(200,
                    json::serialize(json::object{{"service", m_name},
                                                 {"method", ask.method},
                                                 {"path", ask.path},
                                                 {"body", ask.body},
                                                 {"run", run},
                                                 {"total", total}}));
}

} // namespace reachlead::standin

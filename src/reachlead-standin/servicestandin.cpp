// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "servicestandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "jsonreply.h"

namespace reachlead::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::object toJson(const std::map<std::string, std::uint64_t> &counts)
{
    json::object object;
    for (const auto &[name, n] : counts)
        object[name] = n;
    return object;
}

} // namespace

asio::awaitable<HttpResponse> ServiceStandin::serve(HttpRequest request)
{
    if (request.pathOnly() == "/runs") {
        co_return jsonReply(200,
                            json::serialize(json::object{{"total", m_runCount},
                                                         {"by_request", toJson(m_runsByRequest)},
                                                         {"by_key", toJson(m_runsByKey)}}));
    }
    if (request.pathOnly() == "/faults") {
        json::error_code ec;
        const json::value root = json::parse(request.body, ec);
        if (ec || !root.is_object())
            co_return jsonReply(400, "{}");
        if (const json::value *slow = root.get_object().if_contains("slow_ms"))
            m_slowMillis = slow->to_number<std::uint64_t>();
        if (const json::value *refuse = root.get_object().if_contains("refuse"))
            m_refuse = refuse->as_bool();
        co_return jsonReply(200, "{}");
    }
    if (m_refuse)
        co_return jsonReply(503, "{}");
    ++m_runCount;
    const std::uint64_t run =
        ++m_runsByRequest[std::string(request.header("Reachlead-Request-Id"))];
    const std::string key(request.header("Idempotency-Key"));
    if (!key.empty())
        ++m_runsByKey[key];
    const std::uint64_t total = m_runCount;
    if (m_slowMillis > 0) {
        Timer timer(m_io, milliseconds(m_slowMillis));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return jsonReply(200,
                        json::serialize(json::object{{"service", m_name},
                                                     {"method", request.method},
                                                     {"path", request.path},
                                                     {"body", request.body},
                                                     {"run", run},
                                                     {"total", total}}));
}

} // namespace reachlead::standin

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "platformstandin.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <reachlead/sleep.h>

#include "objectapi/platformjson.h"

#include "jsonreply.h"

namespace reachlead::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds watchPollInterval{10};

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

asio::awaitable<HttpResponse> PlatformStandin::serve(HttpRequest request)
{
    const std::string path(request.pathOnly());
    ++m_calls[fmt::format("{} {}", request.method, path)];
    if (path == "/faults")
        co_return setFaults(request);
    if (path == "/counts")
        co_return counts();
    if (path == "/members" && request.method == "PUT")
        co_return setMembers(request);
    if (m_faults.slowMillis > 0)
        co_await sleepFor(m_io, milliseconds(m_faults.slowMillis));
    if (m_faults.down)
        co_return jsonReply(503, "{}");
    if (path == "/members")
        co_return jsonReply(200, membersToJson(m_members));
    if (path == "/watch") {
        HttpResponse answer = co_await watch(std::move(request));
        co_return answer;
    }
    if (path != "/objects")
        co_return jsonReply(404, "{}");
    if (request.method == "GET")
        co_return read(request);
    HttpResponse answer = write(request);
    if (m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        answer = jsonReply(500, ""); // does not tell the client whether the write took effect
    }
    co_return answer;
}

std::map<std::string, PlatformObject> PlatformStandin::stateAt(std::uint64_t version) const
{
    std::map<std::string, PlatformObject> state;
    for (const PlatformObject &change : m_changes) {
        if (static_cast<std::uint64_t>(change.version) > version)
            break;
        state[change.key] = change;
    }
    return state;
}

HttpResponse PlatformStandin::read(const HttpRequest &request) const
{
    const std::uint64_t version = m_version - std::min(m_version, m_faults.staleReads);
    const auto state = m_faults.staleReads > 0 ? stateAt(version) : m_objects;
    const std::string key = request.queryParameter("key");
    std::vector<PlatformObject> matches;
    if (!key.empty()) {
        const auto it = state.find(key);
        if (it == state.end() || it->second.deleted)
            return jsonReply(404, objectsToJson(ObjectVersion{version}, {}));
        return jsonReply(200, objectsToJson(it->second.version, {it->second}));
    }
    const std::string prefix = request.queryParameter("prefix");
    for (const auto &[name, object] : state) {
        if (name.starts_with(prefix) && !object.deleted)
            matches.push_back(object);
    }
    return jsonReply(200, objectsToJson(ObjectVersion{version}, matches));
}

HttpResponse PlatformStandin::write(const HttpRequest &request)
{
    const std::string key = request.queryParameter("key");
    const std::uint64_t expected = parseNumber(request.queryParameter("expected"));
    const auto it = m_objects.find(key);
    const bool exists = it != m_objects.end() && !it->second.deleted;
    const std::uint64_t currentVersion =
        exists ? static_cast<std::uint64_t>(it->second.version) : 0;
    if (key.empty() || expected != currentVersion) {
        std::vector<PlatformObject> now;
        if (exists)
            now.push_back(it->second);
        return jsonReply(409, objectsToJson(ObjectVersion{currentVersion}, now));
    }
    const bool deletes = request.method == "DELETE";
    const PlatformObject object{key, ObjectVersion{++m_version}, deletes ? "" : request.body,
                                deletes};
    m_objects[key] = object;
    m_changes.push_back(object);
    return jsonReply(200, objectsToJson(object.version, {object}));
}

std::vector<PlatformObject> PlatformStandin::changesAfter(const std::string &prefix,
                                                          std::uint64_t from) const
{
    std::vector<PlatformObject> changes;
    const auto begin = std::ranges::upper_bound(m_changes, from, {}, [](const PlatformObject &o) {
        return static_cast<std::uint64_t>(o.version);
    });
    std::copy_if(begin, m_changes.end(), std::back_inserter(changes),
                 [&](const PlatformObject &o) { return o.key.starts_with(prefix); });
    return changes;
}

asio::awaitable<HttpResponse> PlatformStandin::watch(HttpRequest request)
{
    const std::string prefix = request.queryParameter("prefix");
    const std::uint64_t from = parseNumber(request.queryParameter("from"));
    const Time deadline =
        RuntimeClock::now() + milliseconds(parseNumber(request.queryParameter("wait_ms")));
    ++m_pendingWatches;
    m_maxPendingWatches = std::max(m_maxPendingWatches, m_pendingWatches);
    std::vector<PlatformObject> changes = changesAfter(prefix, from);
    while (changes.empty() && RuntimeClock::now() < deadline && !m_faults.down) {
        co_await sleepFor(m_io, watchPollInterval);
        changes = changesAfter(prefix, from);
    }
    --m_pendingWatches;
    if (m_faults.down)
        co_return jsonReply(503, "{}");
    co_return jsonReply(200, objectsToJson(ObjectVersion{m_version}, changes));
}

HttpResponse PlatformStandin::setFaults(const HttpRequest &request)
{
    json::error_code ec;
    const json::value root = json::parse(request.body, ec);
    if (ec || !root.is_object())
        return jsonReply(400, "{}");
    const json::object &object = root.get_object();
    const auto assign = [&](const char *name, std::uint64_t *out) {
        if (const json::value *value = object.if_contains(name))
            *out = value->to_number<std::uint64_t>();
    };
    if (const json::value *down = object.if_contains("down"))
        m_faults.down = down->as_bool();
    assign("lose_replies", &m_faults.loseReplies);
    assign("stale_reads", &m_faults.staleReads);
    assign("slow_ms", &m_faults.slowMillis);
    return jsonReply(200, "{}");
}

HttpResponse PlatformStandin::setMembers(const HttpRequest &request)
{
    auto members = membersFromJson(request.body);
    if (!members)
        return jsonReply(400, "{}");
    m_members = std::move(*members);
    return jsonReply(200, "{}");
}

HttpResponse PlatformStandin::counts() const
{
    json::object calls;
    for (const auto &[name, n] : m_calls)
        calls[name] = n;
    return jsonReply(200,
                     json::serialize(json::object{{"calls", calls},
                                                  {"version", m_version},
                                                  {"waiting_watches", m_pendingWatches},
                                                  {"most_waiting_watches", m_maxPendingWatches}}));
}

} // namespace reachlead::standin

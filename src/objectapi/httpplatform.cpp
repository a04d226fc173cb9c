// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "objectapi/httpplatform.h"

#include <fmt/format.h>

#include "objectapi/platformjson.h"

namespace reachlead {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;

PlatformStatus statusOf(unsigned status)
{
    switch (status) {
    case statusOk:
        return PlatformStatus::Ok;
    case statusNotFound:
        return PlatformStatus::NotFound;
    case statusConflict:
        return PlatformStatus::Conflict;
    default:
        return PlatformStatus::Unavailable;
    }
}

/// Makes a reply of an HTTP answer; an answer that cannot be read counts as none.
PlatformReply readReply(const HttpResponse &answer)
{
    PlatformReply reply;
    reply.status = statusOf(answer.status);
    if (reply.status == PlatformStatus::Unavailable)
        reply.reason = fmt::format("HTTP status {}", answer.status);
    else if (!objectsFromJson(answer.body, &reply))
        reply.status = PlatformStatus::Unavailable;
    return reply;
}

} // namespace

Platform::Awaitable<PlatformReply> HttpPlatform::read(std::string path, Duration limit)
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest ask;
    ask.path = std::move(path);
    PlatformReply reply;
    const auto answer = co_await httpCall(m_service, std::move(ask), limit, &reply.reason);
    if (answer)
        reply = readReply(*answer);
    if (reply.status == PlatformStatus::Unavailable)
        m_counters->add(Counter::PlatformFailures);
    co_return reply;
}

Platform::Awaitable<PlatformReply> HttpPlatform::write(std::string method, std::string key,
                                                       std::string value, ObjectVersion expected)
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest ask;
    ask.method = std::move(method);
    ask.path = fmt::format("/objects?key={}&expected={}", encodeQuery(key),
                           static_cast<std::uint64_t>(expected));
    ask.body = std::move(value);
    PlatformReply reply;
    CallProgress progress{};
    const auto answer =
        co_await httpCall(m_service, std::move(ask), m_limit, &reply.reason, &progress);
    if (answer)
        reply = readReply(*answer);
    else if (progress != CallProgress::NotConnected)
        reply.status = PlatformStatus::Indeterminate;
    if (reply.status == PlatformStatus::Unavailable && progress != CallProgress::NotConnected
        && !(answer && answer->status == 503))
        reply.status = PlatformStatus::Indeterminate; // only a plain 503 says that nothing was done
    if (reply.status == PlatformStatus::Unavailable
        || reply.status == PlatformStatus::Indeterminate)
        m_counters->add(Counter::PlatformFailures);
    co_return reply;
}

Platform::Awaitable<PlatformReply> HttpPlatform::get(std::string key)
{
    return read(fmt::format("/objects?key={}", encodeQuery(key)), m_limit);
}

Platform::Awaitable<PlatformReply> HttpPlatform::list(std::string prefix)
{
    return read(fmt::format("/objects?prefix={}", encodeQuery(prefix)), m_limit);
}

Platform::Awaitable<PlatformReply> HttpPlatform::put(std::string key, std::string value,
                                                     ObjectVersion expected)
{
    return write("PUT", std::move(key), std::move(value), expected);
}

Platform::Awaitable<PlatformReply> HttpPlatform::remove(std::string key, ObjectVersion expected)
{
    return write("DELETE", std::move(key), "", expected);
}

Platform::Awaitable<PlatformReply> HttpPlatform::watch(std::string prefix, ObjectVersion from,
                                                       Duration wait)
{
    const auto millis = std::chrono::duration_cast<milliseconds>(wait).count();
    return read(fmt::format("/watch?prefix={}&from={}&wait_ms={}", encodeQuery(prefix),
                            static_cast<std::uint64_t>(from), millis),
                wait + m_limit);
}

Platform::Awaitable<MemberList> HttpPlatform::members()
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest ask;
    ask.path = "/members";
    std::string reason;
    MemberList list;
    const auto answer = co_await httpCall(m_service, std::move(ask), m_limit, &reason);
    if (answer && answer->status == statusOk) {
        if (auto members = membersFromJson(answer->body)) {
            list.known = true;
            list.members = std::move(*members);
        }
    }
    if (!list.known)
        m_counters->add(Counter::PlatformFailures);
    co_return list;
}

} // namespace reachlead

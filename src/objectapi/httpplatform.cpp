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

PlatformStatus toPlatformStatus(unsigned status)
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

/// Converts an HTTP response. A response that cannot be parsed counts as Unavailable.
PlatformReply readReply(const HttpResponse &response)
{
    PlatformReply reply;
    reply.status = toPlatformStatus(response.status);
    if (reply.status == PlatformStatus::Unavailable)
        reply.reason = fmt::format("HTTP status {}", response.status);
    else if (!objectsFromJson(response.body, &reply))
        reply.status = PlatformStatus::Unavailable;
    return reply;
}

} // namespace

Platform::Awaitable<PlatformReply> HttpPlatform::read(std::string path, Duration timeout)
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest request;
    request.path = std::move(path);
    PlatformReply reply;
    const auto response = co_await httpCall(m_service, std::move(request), timeout, &reply.reason);
    if (response)
        reply = readReply(*response);
    if (reply.status == PlatformStatus::Unavailable)
        m_counters->add(Counter::PlatformFailures);
    co_return reply;
}

Platform::Awaitable<PlatformReply> HttpPlatform::write(std::string method, std::string key,
                                                       std::string value, ObjectVersion expected)
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest request;
    request.method = std::move(method);
    request.path = fmt::format("/objects?key={}&expected={}", encodeQuery(key),
                               static_cast<std::uint64_t>(expected));
    request.body = std::move(value);
    PlatformReply reply;
    CallProgress progress{};
    const auto response =
        co_await httpCall(m_service, std::move(request), m_timeout, &reply.reason, &progress);
    if (response)
        reply = readReply(*response);
    else if (progress != CallProgress::NotConnected)
        reply.status = PlatformStatus::Indeterminate;
    // Only a 503 guarantees that nothing was written.
    if (reply.status == PlatformStatus::Unavailable && progress != CallProgress::NotConnected
        && !(response && response->status == 503))
        reply.status = PlatformStatus::Indeterminate;
    if (reply.status == PlatformStatus::Unavailable
        || reply.status == PlatformStatus::Indeterminate)
        m_counters->add(Counter::PlatformFailures);
    co_return reply;
}

Platform::Awaitable<PlatformReply> HttpPlatform::get(std::string key)
{
    return read(fmt::format("/objects?key={}", encodeQuery(key)), m_timeout);
}

Platform::Awaitable<PlatformReply> HttpPlatform::list(std::string prefix)
{
    return read(fmt::format("/objects?prefix={}", encodeQuery(prefix)), m_timeout);
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
    const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
    return read(fmt::format("/watch?prefix={}&from={}&wait_ms={}", encodeQuery(prefix),
                            static_cast<std::uint64_t>(from), waitMs),
                wait + m_timeout);
}

Platform::Awaitable<MemberList> HttpPlatform::members()
{
    m_counters->add(Counter::PlatformCalls);
    HttpRequest request;
    request.path = "/members";
    std::string reason;
    MemberList list;
    const auto response = co_await httpCall(m_service, std::move(request), m_timeout, &reason);
    if (response && response->status == statusOk) {
        if (auto members = membersFromJson(response->body)) {
            list.known = true;
            list.members = std::move(*members);
        }
    }
    if (!list.known)
        m_counters->add(Counter::PlatformFailures);
    co_return list;
}

} // namespace reachlead

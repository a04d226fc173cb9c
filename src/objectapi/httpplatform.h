// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform's service over HTTP and JSON. The wire shape is this project's assumption until
/// the platform's own is known; nothing outside this package depends on it.

#pragma once

#include <reachlead/counters.h>
#include <reachlead/http.h>
#include <reachlead/platform.h>

namespace reachlead {

class HttpPlatform : public Platform
{
public:
    /// \p limit bounds each call but watches, which wait as long as they are told and this more.
    HttpPlatform(Endpoint service, Duration limit, Counters *counters)
        : m_service(std::move(service)), m_limit(limit), m_counters(counters)
    { }

    Awaitable<PlatformReply> get(std::string key) override;
    Awaitable<PlatformReply> list(std::string prefix) override;
    Awaitable<PlatformReply> put(std::string key, std::string value,
                                 ObjectVersion expected) override;
    Awaitable<PlatformReply> remove(std::string key, ObjectVersion expected) override;
    Awaitable<PlatformReply> watch(std::string prefix, ObjectVersion from, Duration wait) override;
    Awaitable<MemberList> members() override;

private:
    Awaitable<PlatformReply> read(std::string path, Duration limit);
    Awaitable<PlatformReply> write(std::string method, std::string key, std::string value,
                                   ObjectVersion expected);

    Endpoint m_service;
    Duration m_limit;
    Counters *m_counters;
};

} // namespace reachlead

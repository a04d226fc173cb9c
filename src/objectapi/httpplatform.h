// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client of the platform's service over HTTP and JSON. The wire format is an assumption of this
/// project, as the platform's own is not known yet; only this package and the service's stand-in
/// depend on it.

#pragma once

#include <reachlead/counters.h>
#include <reachlead/http.h>
#include <reachlead/platform.h>

namespace reachlead {

class HttpPlatform : public Platform
{
public:
    /// \p timeout is that of each call; a watch adds its waiting time.
    HttpPlatform(Endpoint service, Duration timeout, Counters *counters)
        : m_service(std::move(service)), m_timeout(timeout), m_counters(counters)
    { }

    Awaitable<PlatformReply> get(std::string key) override;
    Awaitable<PlatformReply> list(std::string prefix) override;
    Awaitable<PlatformReply> put(std::string key, std::string value,
                                 ObjectVersion expected) override;
    Awaitable<PlatformReply> remove(std::string key, ObjectVersion expected) override;
    Awaitable<PlatformReply> watch(std::string prefix, ObjectVersion from, Duration wait) override;
    Awaitable<MemberList> members() override;

private:
    Awaitable<PlatformReply> read(std::string path, Duration timeout);
    Awaitable<PlatformReply> write(std::string method, std::string key, std::string value,
                                   ObjectVersion expected);

    Endpoint m_service;
    Duration m_timeout;
    Counters *m_counters;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/headers.h"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>

namespace reachlead {

bool isStrippedHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names{
        "connection", "keep-alive",    "transfer-encoding", "te",     "trailer",         "upgrade",
        "host",       "authorization", "content-length",    "expect", "proxy-connection"};
    return std::ranges::any_of(
        names, [&](std::string_view it) { return boost::algorithm::iequals(it, name); });
}

std::string_view bearerKey(const boost::beast::http::fields &fields)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = toStringView(fields[boost::beast::http::field::authorization]);
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helpers for HTTP headers.

#pragma once

#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

namespace reachlead {

/// True for headers that are not passed on with a call to a service or its answer: those of one
/// connection (RFC 9110, 7.6.1) or message, and the caller's credentials for this router.
bool isStrippedHeader(std::string_view name);

/// Returns the key in `Authorization: Bearer KEY`; empty if there is none.
std::string_view bearerKey(const boost::beast::http::fields &fields);

/// Converts Beast's string view to the standard one.
inline std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace reachlead

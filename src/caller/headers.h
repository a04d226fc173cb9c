// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helpers for HTTP headers that the caller's package shares.

#pragma once

#include <string_view>

#include <boost/beast/core/string.hpp>

namespace reachlead {

/// Headers of a service's call or answer that belong to one connection alone (RFC 9110, 7.6.1),
/// or are secrets between the caller and this router.
bool isStrippedHeader(std::string_view name);

/// Beast's string view as the standard's.
inline std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace reachlead

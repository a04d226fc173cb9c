// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How awaited operations report their errors.

#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace reachlead {

/// For operations whose result begins with their error.
inline constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// For operations that store their error in \p ec.
inline auto storeError(boost::system::error_code *ec)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, *ec);
}

} // namespace reachlead

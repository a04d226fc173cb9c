// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sleep for coroutines on the runtime's clock.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// Suspends the calling coroutine for \p d.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, Duration d)
{
    Timer timer(io);
    boost::system::error_code ec;
    timer.expires_after(d);
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A wake-up signal between coroutines of one thread.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// Wakes a waiting coroutine. Supports one thread and one waiter. A notify() without a waiter is
/// not remembered, so the waiter must check its condition first.
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor) : m_timer(executor) { }

    /// Waits until notify() or \p until, whichever comes first.
    boost::asio::awaitable<void> waitUntil(Time until)
    {
        boost::system::error_code ec;
        m_timer.expires_at(until);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }

    void notify() { m_timer.cancel(); }

private:
    Timer m_timer;
};

} // namespace reachlead

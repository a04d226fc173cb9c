// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A condition that coroutines of one thread wait for.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// Wakes the coroutine that waits. One thread and one waiter; a notify() while none waits is not
/// kept, so the waiter checks its condition first.
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

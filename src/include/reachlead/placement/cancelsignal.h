// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Ends the wait of a call that is no longer wanted.

#pragma once

#include <functional>
#include <utility>

namespace reachlead {

/// Tells who waits on behalf of a call that its caller has left or its deadline has passed. Not
/// thread-safe.
class CancelSignal
{
public:
    void cancel()
    {
        m_isCancelled = true;
        if (const auto handler = std::exchange(m_handler, nullptr))
            handler();
    }

    bool isCancelled() const { return m_isCancelled; }

    /// Sets what to call on cancel(), at most once; empty: nothing.
    void setHandler(std::function<void()> handler) { m_handler = std::move(handler); }

private:
    bool m_isCancelled = false;
    std::function<void()> m_handler;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls that wait until a gateway's state is verified for a later time.

#pragma once

#include <list>
#include <memory>
#include <utility>

#include <reachlead/signal.h>

namespace reachlead {

/// Signals to notify when the state was verified. Not thread-safe.
class VerificationWaiters
{
    using Signals = std::list<std::pair<Time, Signal *>>;

public:
    /// Has a signal notified when the state was current at \p at. May outlive the waiters.
    class Registration
    {
    public:
        Registration(VerificationWaiters &waiters, Time at, Signal &signal)
            : m_signals(waiters.m_signals)
        {
            m_position = m_signals->insert(m_signals->end(), {at, &signal});
        }
        ~Registration() { m_signals->erase(m_position); }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        std::shared_ptr<Signals> m_signals;
        Signals::iterator m_position;
    };

    /// The state was current at \p at.
    void verified(Time at)
    {
        for (const auto &[awaited, signal] : *m_signals) {
            if (awaited <= at)
                signal->notify();
        }
    }

private:
    std::shared_ptr<Signals> m_signals = std::make_shared<Signals>();
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Fair shares of accounts where upstreams are scarce.

#pragma once

#include <cstddef>
#include <map>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The work recently begun for each account, which decides whose waiting call is next. Not
/// thread-safe, reads no clock.
///
/// Load pattern: one account sends many times its usual, or repeats each refused call at once. In
/// order of arrival it gets what it sends, and the calls of the others are late or refused with its
/// own. With the least served account first, it gets what the others leave: a share that is idle is
/// lent, and taken back by order without ending any call.
class AccountShares
{
public:
    /// Work counts half after this time: several times the target of a long prompt, so that an
    /// account cannot gain by a short pause, and short enough that a burst is soon forgotten.
    static constexpr Duration halfLife = seconds(5);

    /// Records that a call of an account begins. \p units: tokens that its upstream has to read and
    /// to write, or 1 where calls have no tokens.
    void served(const AccountName &account, double units, Time now);

    /// The decayed work of an account. Accounts without recent work have 0.
    double level(const AccountName &account, Time now) const;

    /// Number of accounts remembered.
    std::size_t size() const { return m_work.size(); }

private:
    struct Work
    {
        double units = 0;
        Time at;
    };

    static double decayed(const Work &work, Time now);
    void dropOld(Time now);

    std::map<AccountName, Work> m_work;
    Time m_droppedAt{};
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The limits of client accounts, inherited down the tree: a request counts against its account
/// and every ancestor.

#pragma once

#include <unordered_map>

#include <reachlead/error.h>
#include <reachlead/policy.h>

namespace reachlead {

/// Counts requests and tokens of accounts on one router. Not thread-safe.
///
/// Routers share a limit by parts: each enforces its part alone, so that the sum over routers
/// never passes the limit even when they cannot hear each other.
class AccountLimiter
{
public:
    explicit AccountLimiter(PoliciesPtr policies) : m_policies(std::move(policies)) { }

    void setPolicies(PoliciesPtr policies) { m_policies = std::move(policies); }

    /// Sets this router's part of every limit, 0 … 1.
    void setLimitShare(double part) { m_part = part; }
    double limitShare() const { return m_part; }

    /// Takes a place for one request; an error kind when a limit stands against it.
    ErrorKind acquire(const AccountName &account, Time now);

    /// Gives the place back. Each successful acquire() is released once.
    void release(const AccountName &account);

    /// Charges tokens made for the account. The account may fall into debt, which delays later
    /// requests; no running answer is cut.
    void chargeTokens(const AccountName &account, double tokens, Time now);

    /// Requests of the account and its descendants in progress.
    std::int64_t inProgress(const AccountName &account) const;

private:
    struct Usage
    {
        std::int64_t inProgress = 0;
        double tokens = 0; ///< left in the bucket; negative: debt
        Time filledAt{};
        bool filled = false;
    };

    template <class Visit> void forLine(const AccountName &account, Visit visit) const;
    ErrorKind check(const AccountPolicy &policy, Time now);
    void refill(Usage &usage, double rate, Time now) const;

    PoliciesPtr m_policies;
    double m_part = 1.0;
    std::unordered_map<AccountName, Usage> m_usage;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Limits of client accounts. Accounts form a tree: a request counts against its account and all of
/// its ancestors.

#pragma once

#include <unordered_map>

#include <reachlead/error.h>
#include <reachlead/policy.h>

namespace reachlead {

/// Tracks the requests in progress and the token use of client accounts on one router. Not
/// thread-safe.
///
/// Each router enforces its share of every limit independently, so that the sum over all routers
/// stays within the limit even while the routers cannot reach each other.
class AccountLimiter
{
public:
    explicit AccountLimiter(PoliciesPtr policies) : m_policies(std::move(policies)) { }

    void setPolicies(PoliciesPtr policies) { m_policies = std::move(policies); }

    /// Sets this router's share of every limit, 0 … 1.
    void setLimitShare(double part) { m_limitShare = part; }
    double limitShare() const { return m_limitShare; }

    /// Counts one request against the account and its ancestors. Returns ErrorKind::None, or the
    /// kind of the first limit that does not allow the request; nothing is counted then.
    ErrorKind acquire(const AccountName &account, Time now);

    /// Undoes one successful acquire(); to be called exactly once for each.
    void release(const AccountName &account);

    /// Charges generated tokens to the account and its ancestors. A token bucket may become
    /// negative, which delays later requests; answers in progress are not truncated.
    void chargeTokens(const AccountName &account, double tokens, Time now);

    /// Number of requests in progress of the account and its descendants.
    std::int64_t inProgress(const AccountName &account) const;

private:
    struct Usage
    {
        std::int64_t inProgress = 0;
        double tokens = 0; ///< tokens left in the bucket; negative while the account is in debt
        Time refilledAt{};
        bool initialized = false;
    };

    template <class Visit>
    void forAccountAndAncestors(const AccountName &account, Visit visit) const;
    ErrorKind check(const AccountPolicy &policy, Time now);
    void refill(Usage &usage, double rate, Time now) const;

    PoliciesPtr m_policies;
    double m_limitShare = 1.0;
    std::unordered_map<AccountName, Usage> m_usage;
};

} // namespace reachlead

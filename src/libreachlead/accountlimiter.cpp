// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/accountlimiter.h>

#include <algorithm>
#include <cmath>

namespace reachlead {

namespace {

/// Capacity of a token bucket, in seconds of its refill rate.
constexpr double bucketSeconds = 2.0;

/// Upper bound on the ancestors visited. The validation of settings rejects deeper trees; the bound
/// also ends the loop if one gets through.
constexpr int maxPolicyDepth = 16;

} // namespace

/// Calls \p visit for the account and then for each ancestor, until it returns false.
template <class Visit>
void AccountLimiter::forAccountAndAncestors(const AccountName &account, Visit visit) const
{
    const AccountPolicy *policy = m_policies->findAccount(account);
    for (int depth = 0; policy && depth < maxPolicyDepth; ++depth) {
        if (!visit(*policy))
            return;
        policy = policy->parent.empty() ? nullptr : m_policies->findAccount(policy->parent);
    }
}

void AccountLimiter::refill(Usage &usage, double rate, Time now) const
{
    const double capacity = rate * bucketSeconds;
    if (!usage.initialized)
        usage.tokens = capacity;
    else
        usage.tokens = std::min(capacity, usage.tokens + rate * toSeconds(now - usage.refilledAt));
    usage.initialized = true;
    usage.refilledAt = now;
}

ErrorKind AccountLimiter::check(const AccountPolicy &policy, Time now)
{
    Usage &usage = m_usage[policy.name];
    if (policy.limits.concurrency) {
        // Rounded down so that the shares never add up to more than the limit. Each router admits
        // at least one request, so a limit below the number of routers is enforced as one request
        // on each router; docs/OPERATIONS.md documents this for operators.
        const double allowed =
            std::floor(static_cast<double>(*policy.limits.concurrency) * m_limitShare);
        if (static_cast<double>(usage.inProgress) >= std::max(1.0, allowed))
            return ErrorKind::AccountConcurrency;
    }
    if (policy.limits.tokensPerSecond) {
        refill(usage, *policy.limits.tokensPerSecond * m_limitShare, now);
        if (usage.tokens <= 0)
            return ErrorKind::AccountRate;
    }
    return ErrorKind::None;
}

ErrorKind AccountLimiter::acquire(const AccountName &account, Time now)
{
    ErrorKind kind = ErrorKind::None;
    forAccountAndAncestors(account, [&](const AccountPolicy &policy) {
        kind = check(policy, now);
        return kind == ErrorKind::None;
    });
    if (kind != ErrorKind::None)
        return kind;
    forAccountAndAncestors(account, [&](const AccountPolicy &policy) {
        ++m_usage[policy.name].inProgress;
        return true;
    });
    return ErrorKind::None;
}

void AccountLimiter::release(const AccountName &account)
{
    forAccountAndAncestors(account, [&](const AccountPolicy &policy) {
        Usage &usage = m_usage[policy.name];
        usage.inProgress = std::max<std::int64_t>(0, usage.inProgress - 1);
        return true;
    });
}

void AccountLimiter::chargeTokens(const AccountName &account, double tokens, Time now)
{
    forAccountAndAncestors(account, [&](const AccountPolicy &policy) {
        if (policy.limits.tokensPerSecond) {
            Usage &usage = m_usage[policy.name];
            refill(usage, *policy.limits.tokensPerSecond * m_limitShare, now);
            usage.tokens -= tokens;
        }
        return true;
    });
}

std::int64_t AccountLimiter::inProgress(const AccountName &account) const
{
    const auto it = m_usage.find(account);
    return it == m_usage.end() ? 0 : it->second.inProgress;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/accountlimiter.h>

#include <algorithm>
#include <cmath>

namespace reachlead {

namespace {

/// The token bucket holds this much of its rate.
constexpr double bucketSeconds = 2.0;

/// Trees deeper than this are refused at validation; the walk stops here in any case.
constexpr int deepestTree = 16;

} // namespace

/// Calls \p visit for the account and each ancestor; stops when it returns false.
template <class Visit> void AccountLimiter::forLine(const AccountName &account, Visit visit) const
{
    const AccountPolicy *policy = m_policies->findAccount(account);
    for (int depth = 0; policy && depth < deepestTree; ++depth) {
        if (!visit(*policy))
            return;
        policy = policy->parent.empty() ? nullptr : m_policies->findAccount(policy->parent);
    }
}

void AccountLimiter::refill(Usage &usage, double rate, Time now) const
{
    const double room = rate * bucketSeconds;
    if (!usage.filled)
        usage.tokens = room;
    else
        usage.tokens = std::min(room, usage.tokens + rate * toSeconds(now - usage.filledAt));
    usage.filled = true;
    usage.filledAt = now;
}

ErrorKind AccountLimiter::check(const AccountPolicy &policy, Time now)
{
    Usage &usage = m_usage[policy.name];
    if (policy.limits.concurrency) {
        // Rounded down so that the parts never sum to more than the limit. At least one request
        // is let through when the part is below one: a limit under the number of routers is
        // enforced as one for each router, which docs/OPERATIONS.md tells operators.
        const double part = std::floor(static_cast<double>(*policy.limits.concurrency) * m_part);
        if (static_cast<double>(usage.inProgress) >= std::max(1.0, part))
            return ErrorKind::AccountConcurrency;
    }
    if (policy.limits.tokensPerSecond) {
        refill(usage, *policy.limits.tokensPerSecond * m_part, now);
        if (usage.tokens <= 0)
            return ErrorKind::AccountRate;
    }
    return ErrorKind::None;
}

ErrorKind AccountLimiter::acquire(const AccountName &account, Time now)
{
    ErrorKind kind = ErrorKind::None;
    forLine(account, [&](const AccountPolicy &policy) {
        kind = check(policy, now);
        return kind == ErrorKind::None;
    });
    if (kind != ErrorKind::None)
        return kind;
    forLine(account, [&](const AccountPolicy &policy) {
        ++m_usage[policy.name].inProgress;
        return true;
    });
    return ErrorKind::None;
}

void AccountLimiter::release(const AccountName &account)
{
    forLine(account, [&](const AccountPolicy &policy) {
        Usage &usage = m_usage[policy.name];
        usage.inProgress = std::max<std::int64_t>(0, usage.inProgress - 1);
        return true;
    });
}

void AccountLimiter::chargeTokens(const AccountName &account, double tokens, Time now)
{
    forLine(account, [&](const AccountPolicy &policy) {
        if (policy.limits.tokensPerSecond) {
            Usage &usage = m_usage[policy.name];
            refill(usage, *policy.limits.tokensPerSecond * m_part, now);
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

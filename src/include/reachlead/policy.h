// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Policies of request classes and client accounts, as parsed from the settings tree.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// What happens to an answer that misses its deadline.
enum class LatePolicy : std::uint8_t { Deliver, Drop };

/// The policy of one request class.
struct ClassPolicy
{
    ClassName name;
    Tier tier{};
    Duration firstTokenTarget = seconds(2);
    Duration interTokenTarget = milliseconds(79);
    Duration deadline = seconds(60); ///< from arrival to the end of the answer
    LatePolicy late = LatePolicy::Deliver;
    bool repeatable = true;
    /// Minimum share of the service while the class has requests queued, 0 … 0.5.
    double floor = 0.02;
    double weight = 1.0; ///< relative share among the classes of one tier
    /// Maximum number of requests of this class queued for one target.
    std::size_t queueBound = 1000;
};

/// The limits of one client account. A limit that is not set here does not restrict the account
/// itself; the limits of its ancestors still apply.
struct AccountLimits
{
    std::optional<std::int64_t> concurrency; ///< requests queued or running
    std::optional<double> tokensPerSecond;
    std::optional<double> queueShare; ///< fraction of the queue bound of a class, 0 … 1
    std::optional<std::int64_t> connections;
};

/// One client account with the inherited settings resolved. Limits are not inherited: each applies
/// at the account that sets it, where it bounds the account and all of its descendants together.
struct AccountPolicy
{
    AccountName name;
    AccountName parent; ///< empty: a root account
    std::string keySalt;
    std::string keyHash; ///< hex SHA-256 of salt and secret; empty: cannot authenticate
    ClassName defaultClass;
    std::vector<ClassName> classes; ///< classes that the account may use; empty: all
    std::vector<TargetName> targets; ///< targets that the account may use; empty: all
    AccountLimits limits;
};

/// The policies in effect: an immutable snapshot shared between threads.
struct Policies
{
    std::map<ClassName, ClassPolicy> classes;
    std::map<AccountName, AccountPolicy> accounts;
    /// Maximum number of requests queued for one target, over all classes.
    std::size_t queueLimit = 4000;

    const ClassPolicy *findClass(const ClassName &name) const;
    const AccountPolicy *findAccount(const AccountName &name) const;
};

using PoliciesPtr = std::shared_ptr<const Policies>;

} // namespace reachlead

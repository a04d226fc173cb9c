// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the settings tree says about classes and client accounts, in the form decisions use.

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

/// What becomes of an answer that comes after its deadline.
enum class LatePolicy : std::uint8_t { Deliver, Drop };

/// One class of requests.
struct ClassPolicy
{
    ClassName name;
    Tier tier{};
    Duration firstTokenTarget = seconds(2);
    Duration interTokenTarget = milliseconds(79);
    Duration deadline = seconds(60); ///< for the whole answer, from arrival
    LatePolicy late = LatePolicy::Deliver;
    bool repeatable = true;
    double floor = 0.02; ///< share of service this class gets whenever it has work, 0 … 0.5
    double weight = 1.0; ///< share among classes of one tier
    std::size_t queueBound = 1000; ///< requests of this class that may wait for one target
};

/// The limits of one client account. Absent: no limit of its own; the parent's still holds.
struct AccountLimits
{
    std::optional<std::int64_t> concurrency; ///< requests queued or running
    std::optional<double> tokensPerSecond;
    std::optional<double> queueShare; ///< part of a class's queue bound, 0 … 1
    std::optional<std::int64_t> connections;
};

/// One client account, with what it inherits filled in but for limits, which stay each at the
/// account that sets them: a parent's limit bounds the sum of its children.
struct AccountPolicy
{
    AccountName name;
    AccountName parent; ///< empty: none
    std::string keySalt;
    std::string keyHash; ///< hex SHA-256 of salt and secret; empty: cannot sign in
    ClassName defaultClass;
    std::vector<ClassName> classes; ///< classes it may use; empty: any
    std::vector<TargetName> targets; ///< targets it may use; empty: any
    AccountLimits limits;
};

/// All policies in force: an immutable snapshot shared between threads.
struct Policies
{
    std::map<ClassName, ClassPolicy> classes;
    std::map<AccountName, AccountPolicy> accounts;
    std::size_t queueLimit = 4000; ///< requests that may wait for one target, all classes

    const ClassPolicy *findClass(const ClassName &name) const;
    const AccountPolicy *findAccount(const AccountName &name) const;
};

using PoliciesPtr = std::shared_ptr<const Policies>;

} // namespace reachlead

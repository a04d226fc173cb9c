// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/scheduling/accountshares.h>

#include <cmath>

namespace reachlead {

namespace {

/// Work of this age is below a thousandth and is forgotten.
constexpr Duration maxAge = AccountShares::halfLife * 10;

} // namespace

double AccountShares::decayed(const Work &work, Time now)
{
    return work.units * std::exp2(-toSeconds(now - work.at) / toSeconds(halfLife));
}

void AccountShares::served(const AccountName &account, double units, Time now)
{
    dropOld(now);
    Work &work = m_work[account];
    work = {decayed(work, now) + units, now};
}

double AccountShares::level(const AccountName &account, Time now) const
{
    const auto it = m_work.find(account);
    return it == m_work.end() ? 0 : decayed(it->second, now);
}

void AccountShares::dropOld(Time now)
{
    if (now < m_droppedAt + halfLife)
        return;
    m_droppedAt = now;
    std::erase_if(m_work, [&](const auto &it) { return it.second.at + maxAge < now; });
}

} // namespace reachlead

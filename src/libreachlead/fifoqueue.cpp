// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "fifoqueue.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead::pvt {

std::size_t FifoQueue::rowOf(const ClassName &cls) const
{
    if (m_tiers == Tiers::Mixed)
        return 0;
    const ClassPolicy *policy = m_policies->findClass(cls);
    return policy ? indexOf(policy->tier) : tierCount - 1;
}

std::optional<ShedRequest> FifoQueue::push(const QueuedRequest &request)
{
    if (m_places.size() >= m_policies->queueLimit)
        return ShedRequest{request.id, ErrorKind::QueueFull};
    const std::size_t row = rowOf(request.cls);
    const auto it = m_rows[row].insert(m_rows[row].end(), request);
    m_places[request.id] = {row, it};
    return std::nullopt;
}

std::optional<QueuedRequest> FifoQueue::pop()
{
    const auto row = std::ranges::find_if(m_rows, [](const auto &r) { return !r.empty(); });
    if (row == m_rows.end())
        return std::nullopt;
    QueuedRequest request = std::move(row->front());
    row->pop_front();
    m_places.erase(request.id);
    return request;
}

bool FifoQueue::remove(const RequestId &id)
{
    const auto it = m_places.find(id);
    if (it == m_places.end())
        return false;
    m_rows[it->second.row].erase(it->second.it);
    m_places.erase(it);
    return true;
}

void FifoQueue::charge(const ClassName & /*cls*/, const AccountName & /*account*/,
                       double /*tokens*/)
{ }

std::size_t FifoQueue::sizeAtOrAbove(Tier tier) const
{
    if (m_tiers == Tiers::Mixed)
        return m_places.size();
    const auto rows = m_rows | std::views::take(indexOf(tier) + 1);
    return std::accumulate(rows.begin(), rows.end(), std::size_t{0},
                           [](std::size_t sum, const auto &row) { return sum + row.size(); });
}

std::size_t FifoQueue::waiting(const ClassName &cls, const AccountName &account) const
{
    const auto isTheirs = [&](const QueuedRequest &r) {
        return r.cls == cls && r.account == account;
    };
    std::size_t sum = 0;
    for (const auto &row : m_rows)
        sum += static_cast<std::size_t>(std::ranges::count_if(row, isTheirs));
    return sum;
}

} // namespace reachlead::pvt

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "fifoqueue.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead::pvt {

std::size_t FifoQueue::queueIndex(const ClassName &cls) const
{
    if (m_tiers == Tiers::Mixed)
        return 0;
    const ClassPolicy *policy = m_policies->findClass(cls);
    return policy ? indexOf(policy->tier) : tierCount - 1;
}

std::optional<ShedRequest> FifoQueue::push(const QueuedRequest &request)
{
    if (m_locations.size() >= m_policies->queueLimit)
        return ShedRequest{request.id, ErrorKind::QueueFull};
    const std::size_t queue = queueIndex(request.cls);
    const auto it = m_queues[queue].insert(m_queues[queue].end(), request);
    m_locations[request.id] = {queue, it};
    return std::nullopt;
}

std::optional<QueuedRequest> FifoQueue::pop()
{
    const auto queue = std::ranges::find_if(m_queues, [](const auto &r) { return !r.empty(); });
    if (queue == m_queues.end())
        return std::nullopt;
    QueuedRequest request = std::move(queue->front());
    queue->pop_front();
    m_locations.erase(request.id);
    return request;
}

bool FifoQueue::remove(const RequestId &id)
{
    const auto it = m_locations.find(id);
    if (it == m_locations.end())
        return false;
    m_queues[it->second.queue].erase(it->second.it);
    m_locations.erase(it);
    return true;
}

void FifoQueue::charge(const ClassName & /*cls*/, const AccountName & /*account*/,
                       double /*tokens*/)
{ }

std::size_t FifoQueue::sizeAtOrAbove(Tier tier) const
{
    if (m_tiers == Tiers::Mixed)
        return m_locations.size();
    const auto queues = m_queues | std::views::take(indexOf(tier) + 1);
    return std::accumulate(queues.begin(), queues.end(), std::size_t{0},
                           [](std::size_t sum, const auto &queue) { return sum + queue.size(); });
}

std::size_t FifoQueue::waiting(const ClassName &cls, const AccountName &account) const
{
    const auto isMatch = [&](const QueuedRequest &r) {
        return r.cls == cls && r.account == account;
    };
    std::size_t sum = 0;
    for (const auto &queue : m_queues)
        sum += static_cast<std::size_t>(std::ranges::count_if(queue, isMatch));
    return sum;
}

} // namespace reachlead::pvt

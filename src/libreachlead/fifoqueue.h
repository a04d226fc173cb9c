// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The baseline queues that TieredQueue is compared with in benchmarks.

#pragma once

#include <list>
#include <unordered_map>

#include <reachlead/requestqueue.h>

namespace reachlead::pvt {

/// First come, first served, either over all tiers together or strictly tier by tier. New requests
/// are refused when the queue is full.
class FifoQueue : public RequestQueue
{
public:
    enum class Tiers : std::uint8_t { Mixed, Strict };

    FifoQueue(PoliciesPtr policies, Tiers tiers) : m_policies(std::move(policies)), m_tiers(tiers)
    { }

    void setPolicies(const PoliciesPtr &policies) override { m_policies = policies; }
    std::optional<ShedRequest> push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    std::optional<Tier> nextTier() const override { return std::nullopt; }
    bool remove(const RequestId &id) override;
    void charge(const ClassName &cls, const AccountName &account, double tokens) override;
    std::size_t size() const override { return m_locations.size(); }
    std::size_t sizeAtOrAbove(Tier tier) const override;
    std::size_t waiting(const ClassName &cls, const AccountName &account) const override;

private:
    struct Location
    {
        std::size_t queue = 0;
        std::list<QueuedRequest>::iterator it;
    };

    std::size_t queueIndex(const ClassName &cls) const;

    PoliciesPtr m_policies;
    Tiers m_tiers;
    std::array<std::list<QueuedRequest>, tierCount> m_queues;
    std::unordered_map<RequestId, Location> m_locations;
};

} // namespace reachlead::pvt

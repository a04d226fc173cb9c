// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queue that implements the service levels.

#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include <reachlead/requestqueue.h>

namespace reachlead::pvt {

/// Selects the next request by class floors, then strict tiers, then class weights, then fairness
/// among accounts, then the earliest deadline.
///
/// Floors are counted in service: whenever a request of cost c is served, every other class with
/// queued requests gains floor × c tokens of credit, and a class whose credit covers the cost of
/// its own next request is served next. A class with floor f therefore waits for at most (cost of
/// its request) / f tokens of service to others, plus one request of each other class that has
/// credit as well.
///
/// Accounts within a class are served by virtual token counters: the account with the fewest
/// charged tokens is served first, and an account that becomes active again after an idle period
/// starts at the lowest counter of the active accounts (Sheng et al., "Fairness in Serving Large
/// Language Models", OSDI 2024).
///
/// Queue capacity is reserved by floor as well: a class that uses less than its reservation always
/// gets in. The remaining capacity is shared; when it is full, the newest request of the lowest
/// tier is shed.
///
/// push() and pop() are logarithmic in the accounts and requests of one class, and linear in the
/// number of classes.
class TieredQueue : public RequestQueue
{
public:
    explicit TieredQueue(const PoliciesPtr &policies) { setPolicies(policies); }

    void setPolicies(const PoliciesPtr &policies) override;
    std::optional<ShedRequest> push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    std::optional<Tier> nextTier() const override;
    bool remove(const RequestId &id) override;
    void charge(const ClassName &cls, const AccountName &account, double tokens) override;
    std::size_t size() const override { return m_locations.size(); }
    std::size_t sizeAtOrAbove(Tier tier) const override;
    std::size_t waiting(const ClassName &cls, const AccountName &account) const override;

private:
    using Order = std::uint64_t; ///< arrival number

    struct Entry
    {
        QueuedRequest request;
        Order order = 0;
    };

    struct AccountQueue
    {
        double chargedTokens = 0; ///< virtual token counter
        std::map<std::pair<Time, Order>, Entry> byDeadline;
    };

    struct ClassQueue
    {
        ClassPolicy policy;
        std::size_t reserved = 0; ///< queue capacity that no other class may use
        double floorCredit = 0; ///< tokens of service that the floor entitles the class to
        double served = 0; ///< tokens served, divided by the weight
        double minCharge = 0; ///< lowest counter for an account that becomes active
        std::unordered_map<AccountName, AccountQueue> accounts;
        /// Accounts with queued requests, by charged tokens.
        std::set<std::pair<double, AccountName>> active;
        std::map<Order, RequestId> byArrival;

        std::size_t size() const { return byArrival.size(); }
        std::size_t shared() const { return size() > reserved ? size() - reserved : 0; }
    };

    struct Location
    {
        ClassName cls;
        AccountName account;
        Time deadline;
        Order order = 0;
    };

    /// Accounts kept in each class before idle ones are evicted.
    static constexpr std::size_t maxIdleAccounts = 4096;

    ClassQueue &classQueue(const ClassName &name);
    std::optional<ShedRequest> makeRoom(const ClassQueue &cls, const RequestId &arrival);
    ClassQueue *victimClass(Tier arrival);
    void insert(ClassQueue &cls, const QueuedRequest &request);
    QueuedRequest extract(ClassQueue &cls, const AccountName &account, const Entry &entry);
    const Entry &next(const ClassQueue &cls) const;
    const ClassQueue *owedByFloor() const;
    const ClassQueue *nextByTier() const;
    void recordService(ClassQueue &served, double cost);
    void addCharge(ClassQueue &cls, const AccountName &account, double tokens);
    void evictIdleAccounts(ClassQueue &cls);
    std::size_t sharedCapacity() const;
    std::size_t sharedUsed() const;

    PoliciesPtr m_policies;
    std::map<ClassName, ClassQueue> m_classes;
    std::unordered_map<RequestId, Location> m_locations;
    Order m_nextOrder = 0;
};

} // namespace reachlead::pvt

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queue that carries the service levels.

#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include <reachlead/requestqueue.h>

namespace reachlead::pvt {

/// Serves by floors, then strict tiers, then weighted classes, then fair accounts, then earliest
/// deadline.
///
/// Floors are counted in service: whenever a request of cost c is served, every other class with
/// work gains floor × c tokens of credit, and a class whose credit covers its own next request is
/// served next. So a class with floor f waits for at most (cost of its request) / f tokens of
/// others' service, plus one request for each other class that has credit too.
///
/// Accounts inside a class are served by virtual token counters: the account with the least
/// charged tokens goes first, and one that comes back from idling starts at the least of those
/// active (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024).
///
/// Places in the queue are reserved by floor as well: a class below its reserved places is always
/// let in. Above them places are shared, and the newest request of the lowest tier goes first.
///
/// Cost of push and pop: logarithmic in the accounts and requests of one class, linear in the
/// classes.
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
    std::size_t size() const override { return m_places.size(); }
    std::size_t sizeAtOrAbove(Tier tier) const override;
    std::size_t waiting(const ClassName &cls, const AccountName &account) const override;

private:
    using Order = std::uint64_t; ///< order of arrival

    struct Waiting
    {
        QueuedRequest request;
        Order order = 0;
    };

    struct AccountQueue
    {
        double charged = 0; ///< virtual tokens served
        std::map<std::pair<Time, Order>, Waiting> byDeadline;
    };

    struct ClassQueue
    {
        ClassPolicy policy;
        std::size_t reserved = 0; ///< places in the queue that no other class may take
        double floorCredit = 0; ///< tokens of service owed by the floor
        double served = 0; ///< tokens served, over the weight
        double floorOfCharged = 0; ///< least charge of a newly active account
        std::unordered_map<AccountName, AccountQueue> accounts;
        std::set<std::pair<double, AccountName>> active; ///< accounts with work, by charge
        std::map<Order, RequestId> byArrival;

        std::size_t size() const { return byArrival.size(); }
        std::size_t shared() const { return size() > reserved ? size() - reserved : 0; }
    };

    struct Place
    {
        ClassName cls;
        AccountName account;
        Time deadline;
        Order order = 0;
    };

    static constexpr std::size_t mostIdleAccounts = 4096; ///< charges remembered for each class

    ClassQueue &classQueue(const ClassName &name);
    std::optional<ShedRequest> makeRoom(const ClassQueue &cls, const RequestId &newcomer);
    ClassQueue *victimClass(Tier newcomer);
    void insert(ClassQueue &cls, const QueuedRequest &request);
    QueuedRequest take(ClassQueue &cls, const AccountName &account, const Waiting &waiting);
    const Waiting &next(const ClassQueue &cls) const;
    const ClassQueue *owedByFloor() const;
    const ClassQueue *bestOfTopTier() const;
    void account(ClassQueue &served, double cost);
    void recharge(ClassQueue &cls, const AccountName &account, double tokens);
    void forgetIdle(ClassQueue &cls);
    std::size_t sharedPlaces() const;
    std::size_t sharedUsed() const;

    PoliciesPtr m_policies;
    std::map<ClassName, ClassQueue> m_classes;
    std::unordered_map<RequestId, Place> m_places;
    Order m_nextOrder = 0;
};

} // namespace reachlead::pvt

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "tieredqueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace reachlead::pvt {

void TieredQueue::setPolicies(const PoliciesPtr &policies)
{
    m_policies = policies;
    for (const auto &[name, policy] : policies->classes)
        m_classes[name].policy = policy;
    std::erase_if(m_classes, [&](const auto &entry) {
        return entry.second.size() == 0 && !policies->classes.contains(entry.first);
    });
    for (auto &[name, cls] : m_classes) {
        const double places = cls.policy.floor * static_cast<double>(policies->queueLimit);
        const auto reserved = static_cast<std::size_t>(std::ceil(places));
        cls.reserved = std::min(reserved, cls.policy.queueBound);
    }
}

TieredQueue::ClassQueue &TieredQueue::classQueue(const ClassName &name)
{
    // Arrivals are checked against the same policies; a class unknown here was removed between
    // the check and now, and serves its last requests with default values.
    ClassQueue &cls = m_classes[name];
    cls.policy.name = name;
    return cls;
}

std::optional<ShedRequest> TieredQueue::push(const QueuedRequest &request)
{
    ClassQueue &cls = classQueue(request.cls);
    if (cls.size() >= cls.policy.queueBound)
        return ShedRequest{request.id, ErrorKind::QueueFull};
    const std::optional<ShedRequest> shed = makeRoom(cls, request.id);
    if (!shed || shed->id != request.id)
        insert(cls, request);
    return shed;
}

std::optional<ShedRequest> TieredQueue::makeRoom(const ClassQueue &cls, const RequestId &newcomer)
{
    if (cls.size() < cls.reserved || sharedUsed() < sharedPlaces())
        return std::nullopt;
    ClassQueue *victims = victimClass(cls.policy.tier);
    if (!victims)
        return ShedRequest{newcomer, ErrorKind::QueueFull};
    const RequestId victim = victims->byArrival.rbegin()->second;
    remove(victim);
    return ShedRequest{victim, ErrorKind::ShedForHigherTier};
}

TieredQueue::ClassQueue *TieredQueue::victimClass(Tier newcomer)
{
    ClassQueue *lowest = nullptr;
    for (auto &[name, cls] : m_classes) {
        if (cls.shared() == 0 || cls.policy.tier <= newcomer)
            continue;
        if (!lowest || cls.policy.tier > lowest->policy.tier)
            lowest = &cls;
    }
    return lowest;
}

std::size_t TieredQueue::sharedPlaces() const
{
    const std::size_t reserved =
        std::accumulate(m_classes.begin(), m_classes.end(), std::size_t{0},
                        [](std::size_t sum, const auto &it) { return sum + it.second.reserved; });
    return m_policies->queueLimit > reserved ? m_policies->queueLimit - reserved : 0;
}

std::size_t TieredQueue::sharedUsed() const
{
    return std::accumulate(
        m_classes.begin(), m_classes.end(), std::size_t{0},
        [](std::size_t sum, const auto &it) { return sum + it.second.shared(); });
}

void TieredQueue::insert(ClassQueue &cls, const QueuedRequest &request)
{
    const Order order = m_nextOrder++;
    AccountQueue &queue = cls.accounts[request.account];
    if (queue.byDeadline.empty()) {
        queue.charged = std::max(queue.charged, cls.floorOfCharged);
        cls.active.emplace(queue.charged, request.account);
    }
    queue.byDeadline.emplace(std::pair(request.deadline, order), Waiting{request, order});
    cls.byArrival.emplace(order, request.id);
    m_places[request.id] = {request.cls, request.account, request.deadline, order};
    forgetIdle(cls);
}

void TieredQueue::forgetIdle(ClassQueue &cls)
{
    if (cls.accounts.size() <= mostIdleAccounts)
        return;
    // Idle accounts at or under the floor of charges lose nothing by being forgotten.
    std::erase_if(cls.accounts, [&](const auto &entry) {
        return entry.second.byDeadline.empty() && entry.second.charged <= cls.floorOfCharged;
    });
}

const TieredQueue::Waiting &TieredQueue::next(const ClassQueue &cls) const
{
    const AccountName &account = cls.active.begin()->second;
    return cls.accounts.at(account).byDeadline.begin()->second;
}

const TieredQueue::ClassQueue *TieredQueue::owedByFloor() const
{
    const ClassQueue *owed = nullptr;
    for (const auto &[name, cls] : m_classes) {
        if (cls.size() == 0 || cls.floorCredit < next(cls).request.cost)
            continue;
        if (!owed || cls.floorCredit > owed->floorCredit)
            owed = &cls;
    }
    return owed;
}

const TieredQueue::ClassQueue *TieredQueue::bestOfTopTier() const
{
    const ClassQueue *best = nullptr;
    for (const auto &[name, cls] : m_classes) {
        if (cls.size() == 0)
            continue;
        const auto rank = std::pair(cls.policy.tier, cls.served);
        if (!best || rank < std::pair(best->policy.tier, best->served))
            best = &cls;
    }
    return best;
}

std::optional<QueuedRequest> TieredQueue::pop()
{
    if (m_places.empty())
        return std::nullopt;
    const ClassQueue *owed = owedByFloor();
    ClassQueue *cls = &m_classes.at((owed ? owed : bestOfTopTier())->policy.name);
    if (owed)
        cls->floorCredit -= next(*cls).request.cost;
    const AccountName owner = cls->active.begin()->second;
    const Waiting waiting = next(*cls);
    cls->floorOfCharged = std::max(cls->floorOfCharged, cls->active.begin()->first);
    QueuedRequest request = take(*cls, owner, waiting);
    recharge(*cls, owner, request.cost);
    account(*cls, request.cost);
    return request;
}

std::optional<Tier> TieredQueue::nextTier() const
{
    if (m_places.empty())
        return std::nullopt;
    const ClassQueue *owed = owedByFloor();
    return (owed ? owed : bestOfTopTier())->policy.tier;
}

/// Books the service just given: the class's own share, and the credit of all that wait.
void TieredQueue::account(ClassQueue &served, double cost)
{
    served.served += cost / served.policy.weight;
    for (auto &[name, cls] : m_classes) {
        if (&cls != &served && cls.size() > 0)
            cls.floorCredit += cls.policy.floor * cost;
    }
}

QueuedRequest TieredQueue::take(ClassQueue &cls, const AccountName &account, const Waiting &waiting)
{
    AccountQueue &queue = cls.accounts.at(account);
    const auto it = queue.byDeadline.find({waiting.request.deadline, waiting.order});
    QueuedRequest request = std::move(it->second.request);
    cls.byArrival.erase(it->second.order);
    queue.byDeadline.erase(it);
    m_places.erase(request.id);
    if (queue.byDeadline.empty())
        cls.active.erase({queue.charged, account});
    if (cls.size() == 0)
        cls.floorCredit = 0; // an idle class saves up nothing
    return request;
}

bool TieredQueue::remove(const RequestId &id)
{
    const auto it = m_places.find(id);
    if (it == m_places.end())
        return false;
    const Place place = it->second;
    ClassQueue &cls = m_classes.at(place.cls);
    const auto &queue = cls.accounts.at(place.account);
    const Waiting waiting = queue.byDeadline.at({place.deadline, place.order});
    take(cls, place.account, waiting);
    return true;
}

void TieredQueue::recharge(ClassQueue &cls, const AccountName &account, double tokens)
{
    const auto it = cls.accounts.find(account);
    if (it == cls.accounts.end())
        return;
    AccountQueue &queue = it->second;
    const bool isActive = cls.active.erase({queue.charged, account}) > 0;
    queue.charged += tokens;
    if (isActive)
        cls.active.emplace(queue.charged, account);
}

void TieredQueue::charge(const ClassName &cls, const AccountName &account, double tokens)
{
    const auto it = m_classes.find(cls);
    if (it != m_classes.end())
        recharge(it->second, account, tokens);
}

std::size_t TieredQueue::sizeAtOrAbove(Tier tier) const
{
    return std::accumulate(m_classes.begin(), m_classes.end(), std::size_t{0},
                           [&](std::size_t sum, const auto &it) {
                               const ClassQueue &cls = it.second;
                               return cls.policy.tier <= tier ? sum + cls.size() : sum;
                           });
}

std::size_t TieredQueue::waiting(const ClassName &cls, const AccountName &account) const
{
    const auto it = m_classes.find(cls);
    if (it == m_classes.end())
        return 0;
    const auto queue = it->second.accounts.find(account);
    return queue == it->second.accounts.end() ? 0 : queue->second.byDeadline.size();
}

} // namespace reachlead::pvt

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
        const double guaranteed = cls.policy.floor * static_cast<double>(policies->queueLimit);
        const auto reserved = static_cast<std::size_t>(std::ceil(guaranteed));
        cls.reserved = std::min(reserved, cls.policy.queueBound);
    }
}

TieredQueue::ClassQueue &TieredQueue::classQueue(const ClassName &name)
{
    // The router checks arrivals against the same policies. A class that is unknown here was
    // removed since that check; its remaining requests are served with default settings.
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

std::optional<ShedRequest> TieredQueue::makeRoom(const ClassQueue &cls, const RequestId &arrival)
{
    if (cls.size() < cls.reserved || sharedUsed() < sharedCapacity())
        return std::nullopt;
    ClassQueue *victims = victimClass(cls.policy.tier);
    if (!victims)
        return ShedRequest{arrival, ErrorKind::QueueFull};
    const RequestId victim = victims->byArrival.rbegin()->second;
    remove(victim);
    return ShedRequest{victim, ErrorKind::ShedForHigherTier};
}

TieredQueue::ClassQueue *TieredQueue::victimClass(Tier arrival)
{
    ClassQueue *lowest = nullptr;
    for (auto &[name, cls] : m_classes) {
        if (cls.shared() == 0 || cls.policy.tier <= arrival)
            continue;
        if (!lowest || cls.policy.tier > lowest->policy.tier)
            lowest = &cls;
    }
    return lowest;
}

std::size_t TieredQueue::sharedCapacity() const
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
        queue.chargedTokens = std::max(queue.chargedTokens, cls.minCharge);
        cls.active.emplace(queue.chargedTokens, request.account);
    }
    queue.byDeadline.emplace(std::pair(request.deadline, order), Entry{request, order});
    cls.byArrival.emplace(order, request.id);
    m_locations[request.id] = {request.cls, request.account, request.deadline, order};
    evictIdleAccounts(cls);
}

void TieredQueue::evictIdleAccounts(ClassQueue &cls)
{
    if (cls.accounts.size() <= maxIdleAccounts)
        return;
    // An idle account at or below the minimum charge loses nothing: it would restart at the minimum
    // anyway.
    std::erase_if(cls.accounts, [&](const auto &entry) {
        return entry.second.byDeadline.empty() && entry.second.chargedTokens <= cls.minCharge;
    });
}

const TieredQueue::Entry &TieredQueue::next(const ClassQueue &cls) const
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

const TieredQueue::ClassQueue *TieredQueue::nextByTier() const
{
    const ClassQueue *best = nullptr;
    for (const auto &[name, cls] : m_classes) {
        if (cls.size() == 0)
            continue;
        const auto key = std::pair(cls.policy.tier, cls.served);
        if (!best || key < std::pair(best->policy.tier, best->served))
            best = &cls;
    }
    return best;
}

std::optional<QueuedRequest> TieredQueue::pop()
{
    if (m_locations.empty())
        return std::nullopt;
    const ClassQueue *owed = owedByFloor();
    ClassQueue *cls = &m_classes.at((owed ? owed : nextByTier())->policy.name);
    if (owed)
        cls->floorCredit -= next(*cls).request.cost;
    const AccountName owner = cls->active.begin()->second;
    const Entry entry = next(*cls);
    cls->minCharge = std::max(cls->minCharge, cls->active.begin()->first);
    QueuedRequest request = extract(*cls, owner, entry);
    addCharge(*cls, owner, request.cost);
    recordService(*cls, request.cost);
    return request;
}

std::optional<Tier> TieredQueue::nextTier() const
{
    if (m_locations.empty())
        return std::nullopt;
    const ClassQueue *owed = owedByFloor();
    return (owed ? owed : nextByTier())->policy.tier;
}

/// Charges the service just given to the class, and credits the floors of the other classes with
/// queued requests.
void TieredQueue::recordService(ClassQueue &served, double cost)
{
    served.served += cost / served.policy.weight;
    for (auto &[name, cls] : m_classes) {
        if (&cls != &served && cls.size() > 0)
            cls.floorCredit += cls.policy.floor * cost;
    }
}

QueuedRequest TieredQueue::extract(ClassQueue &cls, const AccountName &account, const Entry &entry)
{
    AccountQueue &queue = cls.accounts.at(account);
    const auto it = queue.byDeadline.find({entry.request.deadline, entry.order});
    QueuedRequest request = std::move(it->second.request);
    cls.byArrival.erase(it->second.order);
    queue.byDeadline.erase(it);
    m_locations.erase(request.id);
    if (queue.byDeadline.empty())
        cls.active.erase({queue.chargedTokens, account});
    if (cls.size() == 0)
        cls.floorCredit = 0; // an idle class accumulates no credit
    return request;
}

bool TieredQueue::remove(const RequestId &id)
{
    const auto it = m_locations.find(id);
    if (it == m_locations.end())
        return false;
    const Location location = it->second;
    ClassQueue &cls = m_classes.at(location.cls);
    const auto &queue = cls.accounts.at(location.account);
    const Entry entry = queue.byDeadline.at({location.deadline, location.order});
    extract(cls, location.account, entry);
    return true;
}

void TieredQueue::addCharge(ClassQueue &cls, const AccountName &account, double tokens)
{
    const auto it = cls.accounts.find(account);
    if (it == cls.accounts.end())
        return;
    AccountQueue &queue = it->second;
    const bool isActive = cls.active.erase({queue.chargedTokens, account}) > 0;
    queue.chargedTokens += tokens;
    if (isActive)
        cls.active.emplace(queue.chargedTokens, account);
}

void TieredQueue::charge(const ClassName &cls, const AccountName &account, double tokens)
{
    const auto it = m_classes.find(cls);
    if (it != m_classes.end())
        addCharge(it->second, account, tokens);
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

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queue of requests for one target: the order of service, and which request is shed when the
/// queue is full.

#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <reachlead/error.h>
#include <reachlead/policy.h>

namespace reachlead {

/// The attributes of a request that the queue needs.
struct QueuedRequest
{
    RequestId id;
    ClassName cls;
    AccountName account;
    Time deadline; ///< requests of one account are served earliest deadline first
    double cost = 1.0; ///< predicted tokens, including the prompt
};

/// A request that was removed from the queue, or refused by it, for lack of room.
struct ShedRequest
{
    RequestId id;
    ErrorKind kind = ErrorKind::None;
};

/// The queue of one target. Not thread-safe; owned by one router thread.
class RequestQueue
{
public:
    virtual ~RequestQueue() = default;

    /// Replaces the policies. Queued requests stay in the queue.
    virtual void setPolicies(const PoliciesPtr &policies) = 0;

    /// Adds a request. Returns the request that was shed to make room, which may be the new one;
    /// none when there was room.
    virtual std::optional<ShedRequest> push(const QueuedRequest &request) = 0;

    /// Removes and returns the next request to serve; none when the queue is empty.
    virtual std::optional<QueuedRequest> pop() = 0;

    /// The tier of the request that pop() would return; none when the queue is empty, or when its
    /// order does not depend on tiers.
    virtual std::optional<Tier> nextTier() const = 0;

    /// Removes a request. Returns false when it is not in the queue.
    virtual bool remove(const RequestId &id) = 0;

    /// Corrects the service charged to an account by \p tokens, which may be negative.
    virtual void charge(const ClassName &cls, const AccountName &account, double tokens) = 0;

    /// The number of queued requests.
    virtual std::size_t size() const = 0;

    /// The number of queued requests of \p tier and of higher tiers.
    virtual std::size_t sizeAtOrAbove(Tier tier) const = 0;

    /// The number of queued requests of one class and account.
    virtual std::size_t waiting(const ClassName &cls, const AccountName &account) const = 0;
};

/// The available queue disciplines.
enum class QueueOrder : std::uint8_t {
    TieredFair, ///< floors, strict tiers, weighted classes, fair accounts, earliest deadline first
    StrictTier, ///< strict tiers, first come, first served within a tier, no floors (baseline)
    Fifo ///< first come, first served; new requests are refused when full (baseline)
};

/// Creates a queue with the given discipline.
std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrder order, const PoliciesPtr &policies);

} // namespace reachlead

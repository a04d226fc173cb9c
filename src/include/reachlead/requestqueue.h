// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The order in which waiting requests of one target are served, and which one is shed.

#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <reachlead/error.h>
#include <reachlead/policy.h>

namespace reachlead {

/// What the queue knows of a waiting request.
struct QueuedRequest
{
    RequestId id;
    ClassName cls;
    AccountName account;
    Time deadline; ///< earliest first inside an account
    double cost = 1.0; ///< predicted tokens, prompt included
};

/// A request that loses its place.
struct ShedRequest
{
    RequestId id;
    ErrorKind kind = ErrorKind::None;
};

/// The queue of one target. Not thread-safe; one router thread owns it.
class RequestQueue
{
public:
    virtual ~RequestQueue() = default;

    /// Takes new policies; requests that wait keep their places.
    virtual void setPolicies(const PoliciesPtr &policies) = 0;

    /// Adds a request. Returns the request that had to go for it, which may be the new one.
    virtual std::optional<ShedRequest> push(const QueuedRequest &request) = 0;

    /// Takes the next request to serve; none when the queue is empty.
    virtual std::optional<QueuedRequest> pop() = 0;

    /// The tier of the request that pop() would take; none when the queue is empty, or when the
    /// order does not go by tiers.
    virtual std::optional<Tier> nextTier() const = 0;

    /// Removes a request; false when it does not wait here.
    virtual bool remove(const RequestId &id) = 0;

    /// Corrects an account's served cost by \p tokens, which may be negative.
    virtual void charge(const ClassName &cls, const AccountName &account, double tokens) = 0;

    /// The number of requests that wait.
    virtual std::size_t size() const = 0;

    /// The number of requests that wait at \p tier or above.
    virtual std::size_t sizeAtOrAbove(Tier tier) const = 0;

    /// The number of requests of one class and account that wait.
    virtual std::size_t waiting(const ClassName &cls, const AccountName &account) const = 0;
};

/// The orders that can be chosen.
enum class QueueOrder : std::uint8_t {
    TieredFair, ///< floors, strict tiers, weighted classes, fair accounts, earliest deadline
    StrictTier, ///< strict tiers, first come first served inside, no floors (baseline)
    Fifo ///< first come first served, the newest refused when full (baseline)
};

/// Makes a queue with the given order.
std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrder order, const PoliciesPtr &policies);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bounds the bytes that a process holds for its callers and upstreams.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>

#include <reachlead/ids.h>

namespace reachlead {

/// A number of bytes in memory.
struct ByteCount
{
    std::uint64_t value = 0;

    auto operator<=>(const ByteCount &) const = default;
    ByteCount operator+(ByteCount other) const { return {value + other.value}; }
    /// Saturates at zero.
    ByteCount operator-(ByteCount other) const
    {
        return {value > other.value ? value - other.value : 0};
    }
};

constexpr ByteCount kibibytes(std::uint64_t n)
{
    return {n << 10U};
}
constexpr ByteCount mebibytes(std::uint64_t n)
{
    return {n << 20U};
}

class ByteLease;

/// Divides a bounded number of bytes among accounts. Answers many callers that read slowly, or that
/// send long bodies, while others are served: what one account holds must not use up the room of
/// the rest.
///
/// The bound of each account is a multiple of the bytes that are free (dynamic thresholds, as in
/// shared-memory switches). An account alone may hold accountShare of the process's bytes. Any
/// other account that needs bytes lowers the bound of those that hold most, which then wait until
/// theirs are released; so idle shares are lent, and there is always room for a newcomer. An
/// account that holds nothing may take any number of free bytes, so that a long request does not
/// wait for ever.
///
/// Pure: neither clock nor I/O. Not thread-safe. Leases may outlive it.
class ByteBudget
{
public:
    struct Bounds
    {
        ByteCount process;
        /// Fraction of the process's bytes that one account may hold while no other holds any; in
        /// (0, 1). Half leaves an account that begins as much as one that fills its share.
        double accountShare = 0.5;
        ByteCount call; ///< for one call
    };

    explicit ByteBudget(const Bounds &bounds);
    ~ByteBudget();
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    /// Returns an empty lease for one call of the account.
    ByteLease lease(const AccountName &account) const;

    ByteCount held() const;
    ByteCount heldBy(const AccountName &account) const;

    /// Sets a callback for when bytes are released. It must not release any itself.
    void onReleased(std::function<void()> callback);

private:
    friend class ByteLease;
    struct Ledger;

    std::shared_ptr<Ledger> m_ledger;
};

/// The bytes that one call holds; released on destruction.
class ByteLease
{
public:
    ByteLease() = default;
    ~ByteLease();
    ByteLease(ByteLease &&other) noexcept;
    ByteLease &operator=(ByteLease &&other) noexcept;
    ByteLease(const ByteLease &) = delete;
    ByteLease &operator=(const ByteLease &) = delete;

    /// Changes the number of bytes held. Returns false, without a change, if more were requested
    /// than a bound permits. Releasing always succeeds. A default-constructed lease is not bounded.
    bool resize(ByteCount bytes);

    ByteCount held() const { return m_held; }
    bool isBounded() const { return m_ledger != nullptr; }

private:
    friend class ByteBudget;
    ByteLease(std::shared_ptr<ByteBudget::Ledger> ledger, AccountName account)
        : m_ledger(std::move(ledger)), m_account(std::move(account))
    { }

    std::shared_ptr<ByteBudget::Ledger> m_ledger;
    AccountName m_account;
    ByteCount m_held;
};

} // namespace reachlead

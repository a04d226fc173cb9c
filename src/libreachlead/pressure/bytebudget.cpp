// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/pressure/bytebudget.h>

#include <map>
#include <utility>

namespace reachlead {

struct ByteBudget::Ledger
{
    explicit Ledger(const Bounds &b) : bounds(b) { }

    ByteCount heldBy(const AccountName &account) const
    {
        const auto it = accounts.find(account);
        return it == accounts.end() ? ByteCount() : it->second;
    }

    /// Whether an account may take \p more bytes for a call that holds \p callHeld.
    bool permits(const AccountName &account, ByteCount callHeld, ByteCount more) const
    {
        const ByteCount wanted = held + more;
        if (wanted > bounds.process || callHeld + more > bounds.call)
            return false;
        const ByteCount before = heldBy(account);
        if (before.value == 0)
            return true;
        const double ratio = bounds.accountShare / (1.0 - bounds.accountShare);
        const auto freeAfter = static_cast<double>((bounds.process - wanted).value);
        return static_cast<double>((before + more).value) <= ratio * freeAfter;
    }

    void take(const AccountName &account, ByteCount more)
    {
        held = held + more;
        accounts[account] = accounts[account] + more;
    }

    void release(const AccountName &account, ByteCount less)
    {
        held = held - less;
        const auto it = accounts.find(account);
        it->second = it->second - less;
        if (it->second.value == 0)
            accounts.erase(it);
        if (onReleased)
            onReleased();
    }

    Bounds bounds;
    ByteCount held;
    std::map<AccountName, ByteCount> accounts; ///< those that hold any
    std::function<void()> onReleased;
};

ByteBudget::ByteBudget(const Bounds &bounds) : m_ledger(std::make_shared<Ledger>(bounds)) { }

ByteBudget::~ByteBudget()
{
    m_ledger->onReleased = nullptr;
}

ByteLease ByteBudget::lease(const AccountName &account) const
{
    return {m_ledger, account};
}

ByteCount ByteBudget::held() const
{
    return m_ledger->held;
}

ByteCount ByteBudget::heldBy(const AccountName &account) const
{
    return m_ledger->heldBy(account);
}

void ByteBudget::onReleased(std::function<void()> callback)
{
    m_ledger->onReleased = std::move(callback);
}

ByteLease::~ByteLease()
{
    resize({});
}

ByteLease::ByteLease(ByteLease &&other) noexcept
    : m_ledger(std::move(other.m_ledger)), m_account(std::move(other.m_account)),
      m_held(std::exchange(other.m_held, {}))
{ }

ByteLease &ByteLease::operator=(ByteLease &&other) noexcept
{
    if (this == &other)
        return *this;
    resize({});
    m_ledger = std::move(other.m_ledger);
    m_account = std::move(other.m_account);
    m_held = std::exchange(other.m_held, {});
    return *this;
}

bool ByteLease::resize(ByteCount bytes)
{
    if (!m_ledger)
        return true;
    if (bytes > m_held) {
        const ByteCount more = bytes - m_held;
        if (!m_ledger->permits(m_account, m_held, more))
            return false;
        m_ledger->take(m_account, more);
        m_held = bytes;
    } else if (bytes < m_held) {
        const ByteCount less = m_held - bytes;
        m_held = bytes; // first, as the callback may look at this lease
        m_ledger->release(m_account, less);
    }
    return true;
}

} // namespace reachlead

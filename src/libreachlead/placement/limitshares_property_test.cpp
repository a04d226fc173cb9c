// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "libreachlead/placement/limitsharesfleet.h"

namespace reachlead {

namespace {

using Fleet = LimitSharesFleet;
using Gateway = LimitSharesFleet::Gateway;

/// Any order of requests and grants that arrive late, twice or never, of needs that change, of
/// restarts, and of gateways that are added or lost. The others hear of a new gateway within a
/// lease, and forget a lost one after its loans have expired.
class UnreliableFleet
{
public:
    explicit UnreliableFleet(std::size_t n) : m_fleet(n), m_views(n) { }

    /// Takes one random step and lets some time pass.
    void step()
    {
        using Step = void (UnreliableFleet::*)();
        static constexpr std::array<Step, 12> steps{&UnreliableFleet::changeNeed,
                                                    &UnreliableFleet::ask,
                                                    &UnreliableFleet::ask,
                                                    &UnreliableFleet::deliverRequest,
                                                    &UnreliableFleet::deliverRequest,
                                                    &UnreliableFleet::deliverRequest,
                                                    &UnreliableFleet::deliverGrant,
                                                    &UnreliableFleet::deliverGrant,
                                                    &UnreliableFleet::restart,
                                                    &UnreliableFleet::add,
                                                    &UnreliableFleet::lose,
                                                    &UnreliableFleet::hear};
        (this->*steps[anyBelow(steps.size())])();
        const Time end = m_now + milliseconds(*rc::gen::inRange(0, 900));
        do {
            m_now += milliseconds(50);
            update();
            RC_ASSERT(m_fleet.used(m_now) <= LimitShare::whole);
        } while (m_now < end);
    }

private:
    /// What a gateway has not heard yet of changes of the fleet.
    struct View
    {
        std::size_t added = 0;
        std::size_t lost = 0;
        Time hearsAt{}; ///< of those added, at the latest
        std::optional<Time> lostAt; ///< when this gateway was lost
    };

    static constexpr std::size_t maxGateways = 9;
    static constexpr Duration forgetTime = LimitShares::leaseTime + LimitShares::leaseMargin;

    static std::size_t anyBelow(std::size_t n) { return *rc::gen::inRange<std::size_t>(0, n); }
    std::size_t any() const { return anyBelow(m_fleet.gateways.size()); }

    void changeNeed()
    {
        m_fleet.gateways[any()].need = {*rc::gen::inRange<std::uint32_t>(0, LimitShare::whole + 1)};
    }

    void ask()
    {
        const std::size_t n = any();
        Gateway &gateway = m_fleet.gateways[n];
        if (!m_views[n].lostAt)
            std::ranges::copy(gateway.ask(m_fleet.others(gateway), 8, m_now),
                              std::back_inserter(m_requests));
    }

    /// Messages are kept, as they may arrive again.
    void deliverRequest()
    {
        if (m_requests.empty())
            return;
        const auto &[vm, request] = m_requests[anyBelow(m_requests.size())];
        const std::optional<std::size_t> lender = position(vm);
        if (!lender || m_views[*lender].lostAt)
            return;
        if (auto grant = m_fleet.gateways[*lender].lend(request, m_now))
            m_grants.push_back(std::move(*grant));
    }

    void deliverGrant()
    {
        if (m_grants.empty())
            return;
        const LimitShareGrant &grant = m_grants[anyBelow(m_grants.size())];
        if (const std::optional<std::size_t> borrower = position(grant.to.vm))
            m_fleet.gateways[*borrower].shares.borrow(grant, m_now);
    }

    void restart()
    {
        const std::size_t n = any();
        if (!m_views[n].lostAt) {
            m_fleet.restart(n, m_now);
            m_views[n] = {};
        }
    }

    void add()
    {
        if (m_fleet.gateways.size() >= maxGateways)
            return;
        m_fleet.add(m_now).shares.setFleet(m_fleet.gateways.size());
        for (View &view : m_views) {
            if (view.added++ == 0)
                view.hearsAt = m_now + LimitShares::leaseTime - seconds(1);
        }
        m_views.emplace_back();
    }

    /// The process ends; its share is used no longer.
    void lose()
    {
        const std::size_t n = any();
        if (m_fleet.gateways.size() > 2 && !m_views[n].lostAt) {
            m_views[n].lostAt = m_now;
            m_fleet.gateways[n].isLost = true;
        }
    }

    void hear() { hear(any()); }

    void hear(std::size_t n)
    {
        m_views[n].added = 0;
        m_views[n].lost = 0;
        setSize(n);
    }

    void setSize(std::size_t n)
    {
        const View &view = m_views[n];
        m_fleet.gateways[n].shares.setFleet(m_fleet.gateways.size() + view.lost - view.added);
    }

    /// Lets time have its effects.
    void update()
    {
        for (std::size_t n = 0; n < m_views.size(); ++n) {
            View &view = m_views[n];
            if (view.added > 0 && view.hearsAt <= m_now) {
                view.added = 0;
                setSize(n);
            }
            m_fleet.gateways[n].shares.dropExpired(m_now);
        }
        for (std::size_t n = 0; n < m_views.size(); ++n) {
            if (m_views[n].lostAt && *m_views[n].lostAt + forgetTime <= m_now)
                forget(n--);
        }
    }

    void forget(std::size_t n)
    {
        m_fleet.gateways.erase(m_fleet.gateways.begin() + static_cast<std::ptrdiff_t>(n));
        m_views.erase(m_views.begin() + static_cast<std::ptrdiff_t>(n));
        for (View &view : m_views)
            ++view.lost; // heard of at any later time
    }

    std::optional<std::size_t> position(const VmName &vm) const
    {
        const auto it =
            std::ranges::find(m_fleet.gateways, vm, [](const Gateway &g) { return g.id.vm; });
        if (it == m_fleet.gateways.end())
            return std::nullopt;
        return static_cast<std::size_t>(it - m_fleet.gateways.begin());
    }

    Fleet m_fleet;
    std::vector<View> m_views; ///< by position in the fleet
    Time m_now = Fleet::start;
    std::vector<LimitShares::Request> m_requests;
    std::vector<LimitShareGrant> m_grants;
};

} // namespace

/// Property of LimitShares.
class LimitSharesPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitSharesPropertyTest);
    CPPUNIT_TEST(sharesNeverExceedTheLimit);
    CPPUNIT_TEST_SUITE_END();

    void sharesNeverExceedTheLimit()
    {
        const bool holds = rc::check("sum of the shares", [] {
            UnreliableFleet fleet(*rc::gen::inRange<std::size_t>(2, 6));
            const auto steps = *rc::gen::inRange(10, 150);
            for (int n = 0; n < steps; ++n)
                fleet.step();
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitSharesPropertyTest);

} // namespace reachlead

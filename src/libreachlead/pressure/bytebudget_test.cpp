// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <ranges>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <reachlead/pressure/bytebudget.h>

namespace reachlead {

class ByteBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ByteBudgetTest);
    CPPUNIT_TEST(slowCallersOfOneAccountLeaveRoom);
    CPPUNIT_TEST(idleShareIsLent);
    CPPUNIT_TEST(accountThatHoldsMostWaits);
    CPPUNIT_TEST(longRequestOfAnIdleAccountFits);
    CPPUNIT_TEST(callIsBounded);
    CPPUNIT_TEST(leaseOutlivesItsBudget);
    CPPUNIT_TEST(releaseIsReported);
    CPPUNIT_TEST(anyOrderEndsAtZero);
    CPPUNIT_TEST_SUITE_END();

    static ByteBudget::Bounds bounds() { return {mebibytes(32), 0.5, mebibytes(5)}; }

    /// Takes leases of \p each bytes until one is refused.
    static std::vector<ByteLease> fill(const ByteBudget &budget, const std::string &account,
                                       ByteCount each)
    {
        std::vector<ByteLease> leases;
        while (true) {
            ByteLease lease = budget.lease(AccountName(account));
            if (!lease.resize(each))
                return leases;
            leases.push_back(std::move(lease));
        }
    }

    /// The load: 200 callers of one account stop reading, beside callers of 23 others.
    void slowCallersOfOneAccountLeaveRoom()
    {
        const ByteBudget budget(bounds());
        const auto slow = fill(budget, "slow", kibibytes(144));
        CPPUNIT_ASSERT(budget.heldBy(AccountName("slow")) <= mebibytes(16));
        std::vector<ByteLease> others;
        for (int n = 0; n < 23; ++n) {
            others.push_back(budget.lease(AccountName("other" + std::to_string(n))));
            CPPUNIT_ASSERT(others.back().resize(kibibytes(256)));
        }
    }

    void idleShareIsLent()
    {
        const ByteBudget budget(bounds());
        const auto leases = fill(budget, "only", kibibytes(64));
        CPPUNIT_ASSERT(budget.held() > mebibytes(15));
    }

    void accountThatHoldsMostWaits()
    {
        const ByteBudget budget(bounds());
        const auto most = fill(budget, "most", kibibytes(64));
        const auto second = fill(budget, "second", kibibytes(64));
        CPPUNIT_ASSERT(budget.heldBy(AccountName("second")) > mebibytes(7));
        CPPUNIT_ASSERT(!budget.lease(AccountName("most")).resize(kibibytes(64)));
        ByteLease third = budget.lease(AccountName("third"));
        CPPUNIT_ASSERT(third.resize(mebibytes(4)));
    }

    /// Room for it may be more than a share: a body of 4 MB at a small VM.
    void longRequestOfAnIdleAccountFits()
    {
        const ByteBudget budget({mebibytes(6), 0.5, mebibytes(5)});
        ByteLease lease = budget.lease(AccountName("a"));
        CPPUNIT_ASSERT(lease.resize(mebibytes(4)));
        CPPUNIT_ASSERT(!budget.lease(AccountName("b")).resize(mebibytes(3)));
    }

    void callIsBounded()
    {
        const ByteBudget budget(bounds());
        ByteLease lease = budget.lease(AccountName("a"));
        CPPUNIT_ASSERT(lease.resize(mebibytes(5)));
        CPPUNIT_ASSERT(!lease.resize(mebibytes(6)));
        CPPUNIT_ASSERT(lease.held() == mebibytes(5));
    }

    void leaseOutlivesItsBudget()
    {
        ByteLease lease;
        {
            const ByteBudget budget(bounds());
            lease = budget.lease(AccountName("a"));
            lease.resize(kibibytes(1));
        }
        CPPUNIT_ASSERT(lease.resize({}));
    }

    void releaseIsReported()
    {
        ByteBudget budget(bounds());
        int reports = 0;
        budget.onReleased([&] { ++reports; });
        ByteLease lease = budget.lease(AccountName("a"));
        lease.resize(kibibytes(2));
        CPPUNIT_ASSERT_EQUAL(0, reports);
        lease.resize(kibibytes(1));
        lease = ByteLease();
        CPPUNIT_ASSERT_EQUAL(2, reports);
    }

    /// One operation on a lease: takes, releases, moves or ends it.
    struct Step
    {
        std::size_t slot = 0;
        std::size_t account = 0;
        std::uint64_t bytes = 0;
        int kind = 0;
    };

    static void apply(const ByteBudget &budget, std::vector<ByteLease> &leases, const Step &step)
    {
        ByteLease &lease = leases[step.slot];
        const std::array<std::string, 3> names{"a", "b", "c"};
        if (step.kind == 0)
            lease = budget.lease(AccountName(names[step.account]));
        else if (step.kind == 1)
            lease = std::move(leases[(step.slot + 1) % leases.size()]);
        else
            lease.resize({step.bytes});
    }

    void anyOrderEndsAtZero()
    {
        const bool isGood = rc::check("leases add up, and end at zero", [] {
            const ByteBudget budget({{1000}, 0.5, {400}});
            {
                std::vector<ByteLease> leases(6);
                const int n = *rc::gen::inRange(0, 60);
                for (int it = 0; it < n; ++it) {
                    const Step step{
                        *rc::gen::inRange<std::size_t>(0, 6), *rc::gen::inRange<std::size_t>(0, 3),
                        *rc::gen::inRange<std::uint64_t>(0, 500), *rc::gen::inRange(0, 6)};
                    apply(budget, leases, step);
                    std::uint64_t sum = 0;
                    for (const ByteLease &lease : leases)
                        sum += lease.isBounded() ? lease.held().value : 0;
                    RC_ASSERT(sum == budget.held().value);
                    RC_ASSERT(budget.held().value <= 1000);
                }
            }
            RC_ASSERT(budget.held().value == 0);
            RC_ASSERT(budget.heldBy(AccountName("a")).value == 0);
        });
        CPPUNIT_ASSERT(isGood);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetTest);

} // namespace reachlead

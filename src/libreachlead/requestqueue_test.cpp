// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <reachlead/requestqueue.h>

namespace reachlead {

namespace {

PoliciesPtr makePolicies(std::size_t queueLimit, double floor)
{
    auto policies = std::make_shared<Policies>();
    policies->queueLimit = queueLimit;
    for (std::uint8_t tier = 0; tier < tierCount; ++tier) {
        ClassPolicy cls;
        cls.name = ClassName(fmt::format("tier-{}", tier));
        cls.tier = Tier{tier};
        cls.floor = floor;
        cls.queueBound = queueLimit;
        policies->classes[cls.name] = cls;
    }
    return policies;
}

QueuedRequest make(std::uint64_t n, unsigned tier, const std::string &account, double cost = 10)
{
    return {RequestId{Incarnation{1}, n}, ClassName(fmt::format("tier-{}", tier)),
            AccountName(account), Time(seconds(100)), cost};
}

} // namespace

class RequestQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQueueTest);
    CPPUNIT_TEST(servesHigherTiersFirst);
    CPPUNIT_TEST(servesAccountsFairly);
    CPPUNIT_TEST(idleAccountAccumulatesNoCredit);
    CPPUNIT_TEST(sharesOneTierByClassWeight);
    CPPUNIT_TEST(earliestDeadlineFirstWithinAnAccount);
    CPPUNIT_TEST(shedsTheNewestOfTheLowestTier);
    CPPUNIT_TEST(reservedPlacesAreNotTaken);
    CPPUNIT_TEST(neverShedsAHigherTierForALower);
    CPPUNIT_TEST(noClassStarvesBeyondItsBound);
    CPPUNIT_TEST(removedRequestsAreNotServed);
    CPPUNIT_TEST_SUITE_END();

    void servesHigherTiersFirst()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(100, 0));
        queue->push(make(1, 3, "a"));
        queue->push(make(2, 0, "a"));
        queue->push(make(3, 1, "a"));
        std::vector<std::uint64_t> order;
        while (const auto next = queue->pop())
            order.push_back(next->id.sequence);
        CPPUNIT_ASSERT(order == (std::vector<std::uint64_t>{2, 3, 1}));
    }

    void servesAccountsFairly()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(1000, 0));
        for (std::uint64_t n = 0; n < 100; ++n)
            queue->push(make(n, 0, "flood"));
        for (std::uint64_t n = 100; n < 110; ++n)
            queue->push(make(n, 0, "quiet"));
        unsigned servedFromQuiet = 0;
        for (unsigned n = 0; n < 20; ++n)
            servedFromQuiet += queue->pop()->account == AccountName("quiet") ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(10U, servedFromQuiet);
    }

    void idleAccountAccumulatesNoCredit()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(1000, 0));
        for (std::uint64_t n = 0; n < 100; ++n)
            queue->push(make(n, 0, "steady"));
        for (unsigned n = 0; n < 50; ++n)
            queue->pop();
        for (std::uint64_t n = 100; n < 150; ++n)
            queue->push(make(n, 0, "back"));
        unsigned servedFromSteady = 0;
        for (unsigned n = 0; n < 20; ++n)
            servedFromSteady += queue->pop()->account == AccountName("steady") ? 1 : 0;
        // No penalty for the 50 requests served while the other account was idle.
        CPPUNIT_ASSERT(servedFromSteady >= 9);
    }

    void sharesOneTierByClassWeight()
    {
        auto policies = std::make_shared<Policies>(*makePolicies(1000, 0));
        policies->classes[ClassName("tier-1")].tier = Tier{0};
        policies->classes[ClassName("tier-1")].weight = 3;
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, policies);
        for (std::uint64_t n = 0; n < 100; ++n) {
            queue->push(make(n, 0, "a"));
            queue->push(make(1000 + n, 1, "a"));
        }
        unsigned servedFromHeavier = 0;
        for (unsigned n = 0; n < 40; ++n)
            servedFromHeavier += queue->pop()->cls == ClassName("tier-1") ? 1 : 0;
        CPPUNIT_ASSERT(servedFromHeavier >= 29 && servedFromHeavier <= 31);
    }

    void earliestDeadlineFirstWithinAnAccount()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(100, 0));
        QueuedRequest later = make(1, 0, "a");
        later.deadline += seconds(5);
        queue->push(later);
        queue->push(make(2, 0, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue->pop()->id.sequence);
    }

    void shedsTheNewestOfTheLowestTier()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(3, 0));
        queue->push(make(1, 4, "a"));
        queue->push(make(2, 4, "a"));
        queue->push(make(3, 2, "a"));
        const auto shed = queue->push(make(4, 0, "a"));
        CPPUNIT_ASSERT(shed && shed->id.sequence == 2);
        CPPUNIT_ASSERT(shed->kind == ErrorKind::ShedForHigherTier);
        const auto refused = queue->push(make(5, 4, "a"));
        CPPUNIT_ASSERT(refused && refused->id.sequence == 5);
        CPPUNIT_ASSERT(refused->kind == ErrorKind::QueueFull);
    }

    void reservedPlacesAreNotTaken()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(100, 0.05));
        std::uint64_t n = 0;
        while (!queue->push(make(n, 0, "a")))
            ++n;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, n); // each of the 4 other classes reserves 5
        CPPUNIT_ASSERT(!queue->push(make(1000, 4, "a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{81}, queue->size());
    }

    /// Property test with random pushes and pops: whenever a request is shed, no lower tier holds
    /// more than its reserved places, and the victim is not of a higher tier than the new request.
    void neverShedsAHigherTierForALower()
    {
        const bool holds = rc::check("shed order", [] {
            const auto limit = *rc::gen::inRange<std::size_t>(5, 60);
            const double floor = *rc::gen::element(0.0, 0.02, 0.08);
            const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(limit, floor));
            const auto reserved =
                static_cast<std::size_t>(std::ceil(floor * static_cast<double>(limit)));
            std::map<std::uint64_t, unsigned> tierOf;
            std::array<std::size_t, tierCount> queuedOfTier{};
            const auto forget = [&](std::uint64_t id) {
                --queuedOfTier[tierOf.at(id)];
                tierOf.erase(id);
            };
            const auto steps =
                *rc::gen::container<std::vector<unsigned>>(300, rc::gen::inRange<unsigned>(0, 7));
            std::uint64_t n = 0;
            for (const unsigned step : steps) {
                if (step >= tierCount) {
                    if (const auto next = queue->pop())
                        forget(next->id.sequence);
                    continue;
                }
                tierOf[++n] = step;
                ++queuedOfTier[step];
                const auto shed = queue->push(make(n, step, fmt::format("acc-{}", n % 4)));
                if (!shed)
                    continue;
                const unsigned victim = tierOf.at(shed->id.sequence);
                for (unsigned lower = victim + 1; lower < tierCount; ++lower)
                    RC_ASSERT(queuedOfTier[lower] <= reserved);
                RC_ASSERT(victim >= step);
                forget(shed->id.sequence);
            }
            RC_ASSERT(queue->size() == tierOf.size());
        });
        CPPUNIT_ASSERT(holds);
    }

    /// Guards against starvation by higher tiers: a class with floor f is served within (cost of
    /// its request) / f tokens of service to others, plus one request of each other class that has
    /// floor credit. All classes are kept backlogged.
    void noClassStarvesBeyondItsBound()
    {
        constexpr double floor = 0.05;
        constexpr double cost = 10;
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(100000, floor));
        std::uint64_t n = 0;
        std::map<ClassName, unsigned> popsSinceServed;
        std::map<ClassName, unsigned> maxPops;
        for (unsigned tier = 0; tier < tierCount; ++tier) {
            for (unsigned k = 0; k < 2000; ++k)
                queue->push(make(++n, tier, "a", cost));
        }
        for (unsigned k = 0; k < 2000; ++k) {
            const ClassName served = queue->pop()->cls;
            for (unsigned tier = 0; tier < tierCount; ++tier) {
                const ClassName name(fmt::format("tier-{}", tier));
                popsSinceServed[name] = name == served ? 0 : popsSinceServed[name] + 1;
                maxPops[name] = std::max(maxPops[name], popsSinceServed[name]);
            }
        }
        const auto bound = static_cast<unsigned>(1 / floor) + tierCount;
        for (const auto &[name, wait] : maxPops)
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} waited {}", name.text, wait), wait <= bound);
    }

    void removedRequestsAreNotServed()
    {
        const auto queue = makeRequestQueue(QueueOrder::TieredFair, makePolicies(100, 0.02));
        queue->push(make(1, 0, "a"));
        queue->push(make(2, 0, "a"));
        CPPUNIT_ASSERT(queue->remove(make(1, 0, "a").id));
        CPPUNIT_ASSERT(!queue->remove(make(1, 0, "a").id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue->waiting(ClassName("tier-0"), AccountName("a")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue->pop()->id.sequence);
        CPPUNIT_ASSERT(!queue->pop());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQueueTest);

} // namespace reachlead

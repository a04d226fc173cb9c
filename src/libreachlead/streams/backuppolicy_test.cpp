// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include <reachlead/streams/backupledger.h>
#include <reachlead/streams/backuppolicy.h>

namespace reachlead {

/// Load: ten of forty engines crash together, with streams that may not be resumed on them.
class BackupPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackupPolicyTest);
    CPPUNIT_TEST(onlyLossesThatNothingElseRepairsAreBackedUp);
    CPPUNIT_TEST(engineAtRiskHasLargerRunsBackedUp);
    CPPUNIT_TEST(copyIsInAnotherFailureDomain);
    CPPUNIT_TEST(copyStaysInTheZoneWhileItCan);
    CPPUNIT_TEST(copiesAreSpreadAndBounded);
    CPPUNIT_TEST(reservationEndsWithItsHolder);
    CPPUNIT_TEST_SUITE_END();

    static BackupSettings settings()
    {
        BackupSettings settings;
        settings.isEnabled = true;
        return settings;
    }

    static RunOutlook shortRun()
    {
        RunOutlook run;
        run.promptTokens = 1500;
        run.outputTokens = 200;
        return run;
    }

    void onlyLossesThatNothingElseRepairsAreBackedUp()
    {
        CPPUNIT_ASSERT(isBackupWorthwhile(settings(), shortRun()));
        CPPUNIT_ASSERT(!isBackupWorthwhile(BackupSettings(), shortRun()));
        RunOutlook run = shortRun();
        run.isResumable = true;
        CPPUNIT_ASSERT(!isBackupWorthwhile(settings(), run));
        CPPUNIT_ASSERT(!isBackupWorthwhile(settings(), RunOutlook()));
    }

    void engineAtRiskHasLargerRunsBackedUp()
    {
        RunOutlook run = shortRun();
        run.promptTokens = settings().maxRunTokens;
        CPPUNIT_ASSERT(!isBackupWorthwhile(settings(), run));
        run.isAtRisk = true;
        CPPUNIT_ASSERT(isBackupWorthwhile(settings(), run));
        run.promptTokens = settings().maxRunTokensAtRisk;
        CPPUNIT_ASSERT(!isBackupWorthwhile(settings(), run));
    }

    /// Engine number n is on VM n, in zone n % 3.
    static UpstreamEntry engine(unsigned n, const std::string &version = "v1")
    {
        UpstreamEntry entry;
        entry.id = UpstreamId("e" + std::to_string(n));
        entry.address = {"10.0.0." + std::to_string(n), 8000};
        entry.zone = ZoneName(std::to_string(n % 3));
        entry.slots = 64;
        entry.softwareVersion = SoftwareVersion(version);
        return entry;
    }

    static std::optional<UpstreamId> choose(const UpstreamEntry &from,
                                            const std::vector<BackupCandidate> &candidates,
                                            TokenCount tokens = 1000)
    {
        return chooseBackupEngine(settings(), {100'000, 10}, from, tokens, candidates);
    }

    void copyIsInAnotherFailureDomain()
    {
        const UpstreamEntry from = engine(1);
        UpstreamEntry sameVm = engine(4);
        sameVm.address = {from.address.address, 8001};
        const UpstreamEntry otherVersion = engine(7, "v2");
        const UpstreamEntry failing = engine(10);
        const UpstreamEntry full = engine(13);
        CPPUNIT_ASSERT(!choose(
            from,
            {{&from}, {&sameVm}, {&otherVersion}, {&failing, false}, {&full, true, full.slots}}));
        const UpstreamEntry good = engine(16);
        CPPUNIT_ASSERT(choose(from, {{&sameVm}, {&good}}) == good.id);
    }

    void copyStaysInTheZoneWhileItCan()
    {
        const UpstreamEntry from = engine(1);
        const UpstreamEntry near = engine(4);
        const UpstreamEntry far = engine(2);
        CPPUNIT_ASSERT(choose(from, {{&far}, {&near, true, 60}}) == near.id);
        CPPUNIT_ASSERT(choose(from, {{&far}, {&near, false}}) == far.id);
    }

    /// Each of ten gateways may reserve a tenth of the share at each engine.
    void copiesAreSpreadAndBounded()
    {
        const UpstreamEntry from = engine(1);
        const std::vector<UpstreamEntry> engines{engine(4), engine(7), engine(10)};
        BackupLedger ledger;
        std::vector<BackupLedger::Reservation> held;
        constexpr int runs = 100;
        for (int n = 0; n < runs; ++n) {
            std::vector<BackupCandidate> candidates;
            std::ranges::transform(engines, std::back_inserter(candidates),
                                   [&](const UpstreamEntry &it) {
                                       return BackupCandidate{&it, true, 0, ledger.reserved(it.id)};
                                   });
            if (const auto id = choose(from, candidates))
                held.emplace_back(ledger, *id, 1000);
        }
        for (const UpstreamEntry &it : engines)
            CPPUNIT_ASSERT_EQUAL(TokenCount{2000}, ledger.reserved(it.id));
        CPPUNIT_ASSERT(!choose(from, {{&engines[0]}}, 20'001)); // more than all gateways may hold
        CPPUNIT_ASSERT(choose(from, {{&engines[0]}}, 15'000)); // the first is exempt from the share
    }

    void reservationEndsWithItsHolder()
    {
        BackupLedger ledger;
        {
            BackupLedger::Reservation first(ledger, UpstreamId("a"), 100);
            const BackupLedger::Reservation second(ledger, UpstreamId("a"), 50);
            const BackupLedger::Reservation moved = std::move(first);
            CPPUNIT_ASSERT_EQUAL(TokenCount{150}, ledger.reserved(UpstreamId("a")));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.engineCount());
        std::vector<BackupLedger::Reservation> last;
        {
            BackupLedger gone;
            last.emplace_back(gone, UpstreamId("b"), 1);
        }
        last.clear(); // after its ledger
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackupPolicyTest);

} // namespace reachlead

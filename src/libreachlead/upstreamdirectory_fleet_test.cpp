// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Directories that query their registry and each other in any order.

#include <algorithm>
#include <array>
#include <map>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/upstreamdirectory.h>

namespace reachlead {

namespace {

/// A registry with its history, and the directories of some gateways that query it and each other
/// in any order.
class DirectoryFleet
{
public:
    static constexpr std::size_t gateways = 3;

    DirectoryFleet()
    {
        for (UpstreamDirectory &it : m_directories) {
            it.regainedContact(m_now);
            it.replaceAll(registryNow(), m_revision, m_now);
        }
    }

    /// Executes a step; \p who and \p with select gateways, \p which an upstream.
    void step(unsigned kind, unsigned who, unsigned with, unsigned which)
    {
        using Step = void (DirectoryFleet::*)(std::size_t, std::size_t, unsigned);
        static constexpr std::array<Step, 10> steps{
            &DirectoryFleet::write,      &DirectoryFleet::leave,     &DirectoryFleet::depart,
            &DirectoryFleet::disconnect, &DirectoryFleet::reconnect, &DirectoryFleet::follow,
            &DirectoryFleet::list,       &DirectoryFleet::update,    &DirectoryFleet::advanceTime,
            &DirectoryFleet::restore};
        (this->*steps[kind % steps.size()])(who % gateways, with % gateways, which % 5);
        for (std::size_t n = 0; n < gateways; ++n) {
            m_directories.at(n).expire(m_now);
            recordLeaving(n);
        }
    }

    /// True if no directory uses an upstream that it knew to be leaving.
    bool noneUsesLeavingUpstreams() const
    {
        for (std::size_t n = 0; n < gateways; ++n) {
            const UpstreamDirectory &it = m_directories.at(n);
            const bool isUsed =
                std::ranges::any_of(m_knownLeaving.at(n), [&](const UpstreamId &id) {
                    const UpstreamEntry *entry = it.find(id);
                    return entry != nullptr && it.takesWork(*entry);
                });
            if (isUsed)
                return false;
        }
        return true;
    }

    /// True if each directory has the entries of the registry at the directory's revision.
    bool viewsMatchTheRegistry() const
    {
        return std::ranges::all_of(m_directories, [&](const UpstreamDirectory &it) {
            const auto view = it.registered();
            const auto &expected = m_history.at(it.revision());
            return std::ranges::equal(view, expected, [](const auto &a, const auto &b) {
                return a.id == b.id && a.revision == b.revision && a.leaving == b.leaving;
            });
        });
    }

    /// True if no directory uses an upstream for longer than reregistrationGrace after a connected
    /// gateway saw its departure. What a gateway holds after its own outage may be used for as long
    /// after the end of the outage.
    bool noneUsesDepartedUpstreams() const
    {
        for (std::size_t n = 0; n < gateways; ++n) {
            const UpstreamDirectory &it = m_directories.at(n);
            const bool isUsed = std::ranges::any_of(m_departures, [&](const auto &departure) {
                const auto &[id, seen] = departure;
                const Time from = std::max(seen.at, m_regainedAt.at(n));
                return it.revision() >= seen.revision && it.find(id) != nullptr
                    && m_now >= from + UpstreamDirectory::reregistrationGrace;
            });
            if (isUsed)
                return false;
        }
        return true;
    }

private:
    struct Departure
    {
        StoreRevision revision;
        Time at;
    };

    /// A process behind one of the upstreams; its successor has another id.
    struct Process
    {
        unsigned number = 0;
        bool isLeaving = false;
        bool hasExited = false;
    };

    UpstreamId upstreamId(unsigned which) const
    {
        return UpstreamId(std::to_string(which + 5 * m_processes.at(which).number));
    }

    std::vector<UpstreamEntry> registryNow() const
    {
        std::vector<UpstreamEntry> all;
        std::ranges::copy(m_registry | std::views::values, std::back_inserter(all));
        return all;
    }

    void record(const UpstreamChange &change)
    {
        ++m_revision.number;
        if (change.removed) {
            m_registry.erase(change.entry.id);
        } else {
            m_registry[change.entry.id] = change.entry;
            m_registry[change.entry.id].revision = m_revision;
        }
        UpstreamChange logged = change;
        logged.entry.revision = m_revision;
        m_log.emplace_back(m_revision, logged);
        m_history[m_revision] = registryNow();
    }

    void write(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        Process &process = m_processes.at(which);
        if (process.hasExited)
            process = {process.number + 1, false, false};
        UpstreamChange change;
        change.entry.id = upstreamId(which);
        change.entry.service = ServiceName("s");
        change.entry.leaving = process.isLeaving;
        m_departures.erase(change.entry.id);
        record(change);
    }

    void leave(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        const auto it = m_registry.find(upstreamId(which));
        if (it == m_registry.end())
            return;
        m_processes.at(which).isLeaving = true;
        UpstreamChange change{it->second, false};
        change.entry.leaving = true;
        record(change);
    }

    void depart(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        UpstreamChange change;
        change.entry.id = upstreamId(which);
        change.removed = true;
        m_processes.at(which).hasExited = true;
        if (m_registry.contains(change.entry.id))
            record(change);
    }

    void disconnect(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        m_directories.at(who).lostContact();
    }

    void reconnect(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        if (!m_directories.at(who).inContact())
            m_regainedAt.at(who) = m_now;
        m_directories.at(who).regainedContact(m_now);
    }

    void follow(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        UpstreamDirectory &it = m_directories.at(who);
        if (!it.inContact())
            return;
        if (it.revision().era != m_revision.era) {
            list(who, 0, 0);
            return;
        }
        std::vector<UpstreamChange> changes;
        for (const auto &[revision, change] : m_log) {
            if (revision > it.revision())
                changes.push_back(change);
        }
        const auto changed = it.applyChanges(changes, m_revision, m_now);
        recordDepartures(changed.withdrawn);
    }

    void list(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        UpstreamDirectory &it = m_directories.at(who);
        if (!it.inContact())
            return;
        if (it.revision().era != m_revision.era)
            m_regainedAt.at(who) = m_now;
        recordDepartures(it.replaceAll(registryNow(), m_revision, m_now).withdrawn);
    }

    void update(std::size_t who, std::size_t with, unsigned /*which*/)
    {
        UpstreamDirectory &receiver = m_directories.at(who);
        const RegistryUpdate message =
            m_directories.at(with).updateSince(receiver.revision(), m_now, receiver.digest());
        if (!message.held.empty())
            m_regainedAt.at(who) = std::max(m_regainedAt.at(who), m_regainedAt.at(with));
        if (message.revision.era != receiver.revision().era)
            m_regainedAt.at(who) = m_now;
        receiver.applyUpdate(message, m_now);
    }

    /// The registry is restored from a copy that is some changes old.
    void restore(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        const std::uint64_t lost = std::min<std::uint64_t>(which * 2 + 1, m_revision.number - 1);
        const auto copy =
            std::prev(m_history.upper_bound({m_revision.era, m_revision.number - lost}));
        const StoreRevision restored{m_revision.era + 1, copy->first.number};
        m_registry.clear();
        for (UpstreamEntry entry : copy->second) {
            entry.revision.era = restored.era;
            m_departures.erase(entry.id);
            m_registry.emplace(entry.id, entry);
        }
        m_revision = restored;
        m_history[m_revision] = registryNow();
    }

    void recordLeaving(std::size_t n)
    {
        for (const auto &[id, entry] : m_directories.at(n).entries()) {
            if (entry.leaving)
                m_knownLeaving.at(n).insert(id);
        }
    }

    void advanceTime(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        m_now += milliseconds(300 * (which + 1));
    }

    /// A gateway connected to the registry saw these departures.
    void recordDepartures(const std::vector<UpstreamId> &left)
    {
        for (const UpstreamId &id : left) {
            if (!m_registry.contains(id))
                m_departures.try_emplace(id, Departure{m_revision, m_now});
        }
    }

    Time m_now{seconds(100)};
    StoreRevision m_revision{1};
    std::map<UpstreamId, UpstreamEntry> m_registry;
    std::vector<std::pair<StoreRevision, UpstreamChange>> m_log;
    std::map<StoreRevision, std::vector<UpstreamEntry>> m_history{{StoreRevision(1), {}}};
    std::map<UpstreamId, Departure> m_departures;
    std::array<UpstreamDirectory, gateways> m_directories;
    std::array<std::set<UpstreamId>, gateways> m_knownLeaving;
    std::array<Process, 5> m_processes;
    /// End of the outage after which each one may hold entries.
    std::array<Time, gateways> m_regainedAt{};
};

} // namespace

/// Directories that update each other match the registry, and none uses departed upstreams, also if
/// the registry is restored from older copies.
class UpstreamDirectoryFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryFleetTest);
    CPPUNIT_TEST(anyInterleavingKeepsViewsTrue);
    CPPUNIT_TEST_SUITE_END();

    void anyInterleavingKeepsViewsTrue()
    {
        using Steps = std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>;
        CPPUNIT_ASSERT(rc::check("any interleaving", [](const Steps &steps) {
            DirectoryFleet fleet;
            for (const auto &[kind, gateways, which] : steps) {
                fleet.step(kind, gateways & 15U, gateways >> 4U, which);
                RC_ASSERT(fleet.viewsMatchTheRegistry());
                RC_ASSERT(fleet.noneUsesDepartedUpstreams());
                RC_ASSERT(fleet.noneUsesLeavingUpstreams());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryFleetTest);

} // namespace reachlead

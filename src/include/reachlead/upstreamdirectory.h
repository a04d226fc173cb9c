// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which upstreams there are, as their registry tells, and what is believed while the registry is
/// away.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/http.h>
#include <reachlead/routing.h>

namespace reachlead {

/// One life of one upstream process; a restart has another id.
using UpstreamId = Name<struct UpstreamTag>;

/// Stands for an upstream's id in short messages. Two ids may share one by chance (among 12,000:
/// one chance in sixty), so it serves only where a mix-up does no harm.
using UpstreamTagNumber = std::uint32_t;
UpstreamTagNumber tagOf(const UpstreamId &id);

/// An upstream as its registry entry tells.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    unsigned slots = 1; ///< requests it works on at once
    bool leaving = false; ///< takes no new work
    std::uint64_t revision = 0; ///< of the entry's last change

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, service, address.address, address.port, zone, slots, leaving, revision);
    }
};

/// A change of one entry.
struct UpstreamChange
{
    UpstreamEntry entry; ///< when removed, only the id counts
    bool removed = false;

    template <class Archive> void serialize(Archive &ar) { ar(entry, removed); }
};

/// The registry's entries by id. Not thread-safe, reads no clock.
///
/// While the registry is away the last entries stay in use. Entries that lapsed meanwhile may come
/// back soon after its return, so a removal that is learned within returnGrace of the return takes
/// effect only at the end of that span, and not at all if the entry came back.
class UpstreamDirectory
{
public:
    UpstreamDirectory() = default;
    // The index by service points into the entries, which keep their places when moved.
    UpstreamDirectory(const UpstreamDirectory &) = delete;
    UpstreamDirectory &operator=(const UpstreamDirectory &) = delete;
    UpstreamDirectory(UpstreamDirectory &&) noexcept = default;
    UpstreamDirectory &operator=(UpstreamDirectory &&) noexcept = default;
    ~UpstreamDirectory() = default;

    /// What changed in the set of usable upstreams.
    struct Changed
    {
        std::vector<UpstreamId> added;
        std::vector<UpstreamId> left; ///< gone, or now leaving
    };

    /// Time for entries that lapsed with the registry to be written again: upstreams write about
    /// once a second, and the registry's page names two seconds.
    static constexpr Duration returnGrace = milliseconds(2000);

    /// Takes the whole list as of \p revision; an older one changes nothing.
    Changed replaceAll(const std::vector<UpstreamEntry> &entries, std::uint64_t revision, Time now);

    /// Holds back the removal of entries that another gateway misses since an outage.
    void markMissing(const std::vector<UpstreamId> &ids, Time now);

    /// The entries whose removal is held back.
    std::vector<UpstreamId> missing() const;

    /// Takes changes up to \p revision; older ones change nothing.
    Changed apply(const std::vector<UpstreamChange> &changes, std::uint64_t revision, Time now);

    /// The registry no longer answers.
    void lostContact();

    /// The registry answers again.
    void regainedContact(Time now);

    /// Carries out the removals that were held back and are due.
    Changed expire(Time now);

    const UpstreamEntry *find(const UpstreamId &id) const;
    const std::map<UpstreamId, UpstreamEntry> &entries() const { return m_entries; }

    /// The upstreams of a service that take work, in the order of their ids. Valid until the next
    /// change.
    const std::vector<const UpstreamEntry *> &usableOf(const ServiceName &service) const;

    /// What changed behind \p revision; nothing when that is too long ago to be told.
    std::optional<std::vector<UpstreamChange>> changesSince(std::uint64_t revision) const;

    /// An upstream by the tag that stands for its id in short messages; null when there is none.
    const UpstreamEntry *findTag(UpstreamTagNumber tag) const;

    /// Changes that are remembered, about 100 bytes each: a day of the largest fleet has some
    /// thousands.
    static constexpr std::size_t mostLogged = 2000;

    /// Rises with each change of the entries.
    std::uint64_t changes() const { return m_changes; }

    /// The registry's revision that the entries stand for; 0: nothing was heard yet.
    std::uint64_t revision() const { return m_revision; }

    bool inContact() const { return m_inContact; }

private:
    struct LoggedChange
    {
        std::uint64_t revision = 0;
        UpstreamId id;
    };

    bool holdsRemovals(Time now) const { return now < m_graceUntil; }
    void put(const UpstreamEntry &entry, Changed *changed);
    void erase(const UpstreamId &id);
    void log(const UpstreamId &id);
    void buildIndex() const;
    void remove(const UpstreamId &id, Time now, Changed *changed);

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, Time> m_missing; ///< held back until
    std::uint64_t m_changes = 0;
    std::deque<LoggedChange> m_log; ///< oldest first
    std::uint64_t m_logFloor = 0; ///< the log is complete behind this revision
    // Built when asked for, at m_indexedAt changes.
    mutable std::map<ServiceName, std::vector<const UpstreamEntry *>> m_usable;
    mutable std::unordered_map<UpstreamTagNumber, const UpstreamEntry *> m_byTag;
    mutable std::uint64_t m_indexedAt = 0;
    std::uint64_t m_revision = 0;
    bool m_inContact = false;
    bool m_wasInContact = false; ///< at any time before
    Time m_graceUntil{};
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The upstreams listed in the registry, and those still in use during and shortly after an outage
/// of the registry.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/evacuations.h>
#include <reachlead/http.h>
#include <reachlead/leavingupstreams.h>
#include <reachlead/routing.h>
#include <reachlead/storerevision.h>
#include <reachlead/streambindings.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// Compact form of an upstream's id in messages. Two ids may have the same hash (probability 1/60
/// among 12,000 upstreams), so it is used only where a confusion does no harm.
using UpstreamHash = std::uint32_t;
UpstreamHash upstreamHash(const UpstreamId &id);

/// An upstream's registry entry.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    unsigned slots = 1; ///< requests that it runs concurrently
    bool leaving = false; ///< takes no new work
    std::uint32_t coldLeftMs = 0; ///< remaining cold time when the entry was written
    SoftwareVersion softwareVersion;
    StoreRevision revision; ///< of the entry's last change

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, service, address.address, address.port, zone, slots, leaving, coldLeftMs,
           softwareVersion, revision);
    }
};

/// Whether two entries differ in nothing but their revisions.
bool hasSameContent(const UpstreamEntry &first, const UpstreamEntry &second);

/// A change of one entry.
struct UpstreamChange
{
    UpstreamEntry entry; ///< if removed, only the name is valid, not the incarnation
    bool removed = false;

    template <class Archive> void serialize(Archive &ar) { ar(entry, removed); }
};

/// An upstream that is missing in the registry after an outage and is still used for a grace time.
struct HeldUpstream
{
    UpstreamEntry entry;
    std::int32_t leftMs = 0; ///< until it is removed

    template <class Archive> void serialize(Archive &ar) { ar(entry, leftMs); }
};

/// An upstream whose entry the registry has again since the store was restored from a copy made
/// before the entry was removed.
struct WithheldUpstream
{
    UpstreamId id;
    std::int32_t leftMs = 0; ///< until it takes work, if the entry is still there

    template <class Archive> void serialize(Archive &ar) { ar(id, leftMs); }
};

/// An update from one directory to another: the registry at a revision and, separately, the
/// upstreams in use that are missing in it.
struct RegistryUpdate
{
    StoreRevision revision;
    StoreRevision changesFrom; ///< the querying gateway's revision
    std::vector<UpstreamChange> changes; ///< after changesFrom
    std::optional<std::vector<UpstreamEntry>>
        snapshot; ///< all entries, if the changes are not known
    std::vector<HeldUpstream> held; ///< not in the registry at that revision
    std::vector<WithheldUpstream> withheld; ///< in the registry, but not in use

    template <class Archive> void serialize(Archive &ar)
    {
        ar(revision, changesFrom, changes, snapshot, held, withheld);
    }
};

/// The registry's entries by id. Not thread-safe, reads no clock.
///
/// While the registry is unreachable the last entries stay in use. Entries that lapsed meanwhile
/// may be written again soon after the outage, so entries missing in the registry's first response
/// after it are held in use until the end of reregistrationGrace, unless they reappear. A removal
/// seen later is a departure and takes effect at once. Held entries are not part of the state that
/// is sent under a revision: an entry passed on under a later revision than that of its removal
/// would be used for 2 s more at each gateway that receives it.
///
/// A store that was restored from an older copy begins a new era (see StoreRevision). Its first
/// list replaces the known state, except for what the copy cannot know:
///  - entries that are missing are held as after an outage, since their upstreams write them again;
///  - an upstream that was known to leave stays out of use, whatever its entry reports;
///  - an upstream whose entry had been removed is withheld until it writes another entry, or until
///    the registry would have removed the entry of an upstream that does not renew it.
///
/// An upstream that restarted under its name is a new upstream: its earlier incarnation is removed
/// at once and not held, and a late message about it has no effect.
class UpstreamDirectory
{
public:
    UpstreamDirectory() = default;
    // The index by service points into the entries, whose addresses stay valid when the map is
    // moved.
    UpstreamDirectory(const UpstreamDirectory &) = delete;
    UpstreamDirectory &operator=(const UpstreamDirectory &) = delete;
    UpstreamDirectory(UpstreamDirectory &&) noexcept = default;
    UpstreamDirectory &operator=(UpstreamDirectory &&) noexcept = default;
    ~UpstreamDirectory() = default;

    /// Changes of the set of usable upstreams.
    struct UsableChanges
    {
        std::vector<UpstreamId> added;
        std::vector<UpstreamId> withdrawn; ///< removed, now leaving, or in a zone now evacuated
    };

    /// Time for entries that lapsed during an outage of the registry to be written again: upstreams
    /// write about once a second, and the registry's documentation specifies 2 s.
    static constexpr Duration reregistrationGrace = milliseconds(2000);

    /// Time for the registry to remove the entries of upstreams that are gone from a restored copy:
    /// it does so after three missed renewals, which are due about once a second.
    static constexpr Duration restoredEntryHold = seconds(6);

    /// A removal is remembered for this long, far longer than the age of the copies that the store
    /// is restored from.
    static constexpr Duration removalRetention = std::chrono::minutes(10);

    /// A version without an upstream is remembered at least as long as callers may resume streams.
    static constexpr Duration versionRetention = StreamBindings::maxRetention;

    /// Applies the registry's whole list as of \p revision; an older one is ignored.
    UsableChanges replaceAll(const std::vector<UpstreamEntry> &entries, StoreRevision revision,
                             Time now);

    /// Applies the registry's changes up to \p revision; older ones are ignored.
    UsableChanges applyChanges(const std::vector<UpstreamChange> &changes, StoreRevision revision,
                               Time now);

    /// The update for a directory at \p revision: changes if they are still known, otherwise all
    /// entries. No entries are sent if its \p digest equals digest(): gateways that list the
    /// registry at the same time get different revisions, and would otherwise send each other all
    /// entries.
    RegistryUpdate updateSince(StoreRevision revision, Time now, std::uint64_t digest = 0) const;

    /// Digest of the registry's entries and the revisions of their last changes; 0: no entries.
    std::uint64_t digest() const;

    /// Applies an update from another directory; older updates, and changes from a later revision
    /// than this directory's, are ignored.
    UsableChanges applyUpdate(const RegistryUpdate &update, Time now);

    /// The ids of the held entries: missing in the registry after an outage and still in use.
    std::vector<UpstreamId> missing() const;

    /// Takes the upstreams of these zones out of use and those of all others back into use. This is
    /// not a change of the registry, so it is not part of the updates sent under its revision.
    UsableChanges setEvacuated(const ZoneSet &zones);

    /// Takes an upstream out of use that announced in an answer, here or at another gateway, that
    /// it is leaving. Like an evacuation, this is not a change of the registry.
    UsableChanges setLeaving(const UpstreamId &id, Time now);
    const LeavingUpstreams &leaving() const { return m_leaving; }

    /// Whether new work may be sent to an upstream.
    bool takesWork(const UpstreamEntry &entry) const
    {
        return !isLeaving(entry) && !isEvacuated(entry) && !m_withheld.contains(entry.id);
    }
    /// Whether an upstream is leaving, by its registry entry or by its own answers.
    bool isLeaving(const UpstreamEntry &entry) const
    {
        return entry.leaving || m_leaving.contains(entry.id);
    }
    bool isEvacuated(const UpstreamEntry &entry) const { return m_evacuated.contains(entry.zone); }

    /// The registry no longer responds.
    void lostContact();

    /// The registry responds again.
    void regainedContact(Time now);

    /// Removes held entries whose grace time is over, takes withheld ones back into use, and
    /// forgets old removals and leaving upstreams without an entry.
    UsableChanges expire(Time now);

    const UpstreamEntry *find(const UpstreamId &id) const;
    /// All entries in use, held ones included.
    const std::map<UpstreamId, UpstreamEntry> &entries() const { return m_entries; }

    /// The registry's entries at revision(): those in use without the held ones.
    std::vector<UpstreamEntry> registered() const;

    /// The upstreams of a service that take work, ordered by id. Valid until the next change.
    const std::vector<const UpstreamEntry *> &usableUpstreams(const ServiceName &service) const;

    /// The changes of the registry after \p revision; empty if they are no longer known.
    std::optional<std::vector<UpstreamChange>> changesSince(StoreRevision revision) const;

    /// The software versions that the upstreams of a service have had within versionRetention.
    std::set<SoftwareVersion> recentVersions(const ServiceName &service) const;

    /// Records a version that has begun a stream, though its upstreams may be unknown here.
    void versionSeen(const ServiceName &service, const SoftwareVersion &version, Time now)
    {
        m_versions[service].try_emplace(version, now);
    }

    /// Starts to observe the versions of services: before, upstreams may have come and gone unseen.
    void startObservation(Time now) { m_observedSince = now; }

    /// Since when no version can have been missed; none: the state was never current.
    std::optional<Time> observedSince() const { return m_observedSince; }

    /// True if recentVersions() names all versions.
    bool knowsRecentVersions(Time now) const
    {
        return m_observedSince && *m_observedSince + versionRetention <= now;
    }

    /// Finds an upstream by the hash of its id; null if there is none.
    const UpstreamEntry *findByHash(UpstreamHash hash) const;

    /// Capacity of the change log, with about 100 bytes for each change: the largest fleet has some
    /// thousands of changes a day.
    static constexpr std::size_t maxLoggedChanges = 2000;

    /// Incremented by each change of the entries or of their use.
    std::uint64_t changeCount() const { return m_changeCount; }

    /// The registry's revision of the entries; 0: none was received yet.
    StoreRevision revision() const { return m_revision; }

    bool inContact() const { return m_inContact; }

private:
    struct LoggedChange
    {
        StoreRevision revision;
        UpstreamId id;
    };
    struct Removal
    {
        StoreRevision revision;
        Time at;
        bool wasLeaving = false;
    };

    using HeldUntil = std::map<UpstreamId, Time>;

    bool isHoldingRemovals(Time now) const { return m_catchesUp && now < m_graceUntil; }
    void prepareForEra(std::uint64_t era, Time now);
    void advanceToList(StoreRevision revision);
    void put(const UpstreamEntry &entry, Time now, UsableChanges *changed);
    void putAll(const std::vector<UpstreamEntry> &entries, Time now, const HeldUntil &held,
                UsableChanges *changed);
    void putChanges(const std::vector<UpstreamChange> &changes, Time now, const HeldUntil &held,
                    UsableChanges *changed);
    void putChanged(const UpstreamEntry &entry, Time now, UsableChanges *changed);
    void withhold(const UpstreamId &id, Time until, UsableChanges *changed);
    void release(const UpstreamId &id, UsableChanges *changed);
    void withholdRemoved(const UpstreamEntry &entry, Time now, UsableChanges *changed);
    void keepLeaving(const UpstreamEntry &known, const UpstreamEntry &entry, Time now);
    void erase(const UpstreamId &id);
    const UpstreamEntry *findByName(const std::string &name) const;
    bool supersede(const UpstreamEntry &entry, UsableChanges *changed);
    void recordVersions(Time now);
    void log(const UpstreamId &id);
    void buildIndex() const;
    void remove(const UpstreamId &id, Time now, const HeldUntil &held, UsableChanges *changed);
    std::optional<Time> heldUntil(const UpstreamEntry &entry, Time now,
                                  const HeldUntil &held) const;

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, Time> m_missing; ///< end of the hold of each held entry
    std::map<UpstreamId, Removal> m_removed; ///< recently, by the registry
    std::map<UpstreamId, Time> m_withheld; ///< until when
    std::map<ServiceName, std::map<SoftwareVersion, Time>> m_versions; ///< when last seen
    Time m_versionsRecordedAt{};
    std::optional<Time> m_observedSince;
    ZoneSet m_evacuated;
    LeavingUpstreams m_leaving;
    std::uint64_t m_changeCount = 0;
    std::deque<LoggedChange> m_log; ///< oldest first
    StoreRevision m_logFloor; ///< the log is complete after this revision
    // Built on demand; current while m_indexedAt equals m_changeCount.
    mutable std::map<ServiceName, std::vector<const UpstreamEntry *>> m_usable;
    mutable std::unordered_map<UpstreamHash, const UpstreamEntry *> m_byHash;
    mutable std::uint64_t m_indexedAt = 0;
    StoreRevision m_revision;
    bool m_inContact = false;
    bool m_wasInContact = false; ///< at any earlier time
    bool m_catchesUp = false; ///< the first response after an outage or a restore is still pending
    Time m_graceUntil{};
};

} // namespace reachlead

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
#include <reachlead/evacuations.h>
#include <reachlead/http.h>
#include <reachlead/leavingupstreams.h>
#include <reachlead/routing.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// Stands for an upstream's id in short messages. Two ids may share one by chance (among 12,000:
/// one chance in sixty), so it serves only where a mix-up does no harm.
using UpstreamHash = std::uint32_t;
UpstreamHash upstreamHash(const UpstreamId &id);

/// An upstream as its registry entry tells.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    unsigned slots = 1; ///< requests it works on at once
    bool leaving = false; ///< takes no new work
    std::uint32_t coldLeftMs = 0; ///< it stayed cold for this long when the entry was written
    std::uint64_t revision = 0; ///< of the entry's last change

    template <class Archive> void serialize(Archive &ar)
    {
        ar(id, service, address.address, address.port, zone, slots, leaving, coldLeftMs, revision);
    }
};

/// A change of one entry.
struct UpstreamChange
{
    UpstreamEntry entry; ///< when removed, only the name counts: it has no life left
    bool removed = false;

    template <class Archive> void serialize(Archive &ar) { ar(entry, removed); }
};

/// An upstream that the registry lacks since an outage and that is used a little longer.
struct HeldUpstream
{
    UpstreamEntry entry;
    std::int32_t leftMs = 0; ///< until it counts as gone

    template <class Archive> void serialize(Archive &ar) { ar(entry, leftMs); }
};

/// What one directory tells another: the registry at a revision, and apart from it what is believed
/// beyond that.
struct RegistryUpdate
{
    std::uint64_t revision = 0;
    std::uint64_t changesFrom = 0; ///< the asker's revision
    std::vector<UpstreamChange> changes; ///< behind changesFrom
    std::optional<std::vector<UpstreamEntry>> snapshot; ///< where changes could not be told
    std::vector<HeldUpstream> held; ///< not in the registry at that revision

    template <class Archive> void serialize(Archive &ar)
    {
        ar(revision, changesFrom, changes, snapshot, held);
    }
};

/// The registry's entries by id. Not thread-safe, reads no clock.
///
/// While the registry is away the last entries stay in use. Entries that lapsed meanwhile may come
/// back soon after its return, so what the registry's first answer after an outage lacks is used
/// until the end of reregistrationGrace, unless it came back. A removal that is seen later is a
/// departure and takes effect at once. Held entries are no part of what is told under a revision:
/// an entry passed on under a later revision than its removal's would be used for 2 s more at each
/// gateway that hears of it.
///
/// An upstream that started again under its name is another upstream: its earlier life is gone at
/// once and is not held, and a late word of it changes nothing.
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
    struct UsableChanges
    {
        std::vector<UpstreamId> added;
        std::vector<UpstreamId> withdrawn; ///< gone, now leaving, or in a zone now evacuated
    };

    /// Time for entries that lapsed with the registry to be written again: upstreams write about
    /// once a second, and the registry's page names two seconds.
    static constexpr Duration reregistrationGrace = milliseconds(2000);

    /// Takes the registry's whole list as of \p revision; an older one changes nothing.
    UsableChanges replaceAll(const std::vector<UpstreamEntry> &entries, std::uint64_t revision,
                             Time now);

    /// Takes the registry's changes up to \p revision; older ones change nothing.
    UsableChanges applyChanges(const std::vector<UpstreamChange> &changes, std::uint64_t revision,
                               Time now);

    /// What a directory at \p revision lacks: changes where they can be told, else all. Nothing is
    /// lacked by one whose digest() is the same: gateways that list a registry at the same time do
    /// so at different revisions, and would else send each other all of it.
    RegistryUpdate updateSince(std::uint64_t revision, Time now, std::uint64_t digest = 0) const;

    /// A number by which the registry's entries are told apart from others, with the revisions of
    /// their last changes; 0: none.
    std::uint64_t digest() const;

    /// Takes what another directory tells; older news, and changes from a later revision than this
    /// one's, change nothing.
    UsableChanges applyUpdate(const RegistryUpdate &news, Time now);

    /// The entries that the registry lacks since an outage and that are still used.
    std::vector<UpstreamId> missing() const;

    /// Takes the upstreams of these zones out of use, and takes back those of all others. It is no
    /// change of the registry, and no part of what is told under its revision.
    UsableChanges setEvacuated(const ZoneSet &zones);

    /// Takes an upstream out of use that said in an answer, here or at another gateway, that it
    /// leaves. Like an evacuation, it is no change of the registry.
    UsableChanges setLeaving(const UpstreamId &id, Time now);
    const LeavingUpstreams &leaving() const { return m_leaving; }

    /// Whether new work may be sent to an upstream.
    bool takesWork(const UpstreamEntry &entry) const
    {
        return !isLeaving(entry) && !isEvacuated(entry);
    }
    /// By its registry entry or by its own answers.
    bool isLeaving(const UpstreamEntry &entry) const
    {
        return entry.leaving || m_leaving.contains(entry.id);
    }
    bool isEvacuated(const UpstreamEntry &entry) const { return m_evacuated.contains(entry.zone); }

    /// The registry no longer answers.
    void lostContact();

    /// The registry answers again.
    void regainedContact(Time now);

    /// Carries out the removals that were held back and are due, and forgets upstreams that left.
    UsableChanges expire(Time now);

    const UpstreamEntry *find(const UpstreamId &id) const;
    /// All that are used, held ones included.
    const std::map<UpstreamId, UpstreamEntry> &entries() const { return m_entries; }

    /// The registry's entries at revision(): what is used less what is held.
    std::vector<UpstreamEntry> registered() const;

    /// The upstreams of a service that take work, in the order of their ids. Valid until the next
    /// change.
    const std::vector<const UpstreamEntry *> &usableUpstreams(const ServiceName &service) const;

    /// What changed in the registry behind \p revision; nothing when that is too long ago to be
    /// told.
    std::optional<std::vector<UpstreamChange>> changesSince(std::uint64_t revision) const;

    /// An upstream by the tag that stands for its id in short messages; null when there is none.
    const UpstreamEntry *findByHash(UpstreamHash tag) const;

    /// Changes that are remembered, about 100 bytes each: a day of the largest fleet has some
    /// thousands.
    static constexpr std::size_t maxLoggedChanges = 2000;

    /// Rises with each change of the entries.
    std::uint64_t changeCount() const { return m_changes; }

    /// The registry's revision that the entries stand for; 0: nothing was heard yet.
    std::uint64_t revision() const { return m_revision; }

    bool inContact() const { return m_inContact; }

private:
    struct LoggedChange
    {
        std::uint64_t revision = 0;
        UpstreamId id;
    };

    using HeldUntil = std::map<UpstreamId, Time>;

    bool holdsRemovals(Time now) const { return m_catchesUp && now < m_graceUntil; }
    void jumpTo(std::uint64_t revision);
    void put(const UpstreamEntry &entry, UsableChanges *changed);
    void putAll(const std::vector<UpstreamEntry> &entries, Time now, const HeldUntil &held,
                UsableChanges *changed);
    void putChanges(const std::vector<UpstreamChange> &changes, Time now, const HeldUntil &held,
                    UsableChanges *changed);
    void erase(const UpstreamId &id);
    const UpstreamEntry *lifeOf(const std::string &name) const;
    bool supersedes(const UpstreamEntry &entry, UsableChanges *changed);
    void log(const UpstreamId &id);
    void buildIndex() const;
    void remove(const UpstreamId &id, Time now, const HeldUntil &held, UsableChanges *changed);
    std::optional<Time> heldUntil(const UpstreamEntry &entry, Time now,
                                  const HeldUntil &held) const;

    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::map<UpstreamId, Time> m_missing; ///< held back until
    ZoneSet m_evacuated;
    LeavingUpstreams m_leaving;
    std::uint64_t m_changes = 0;
    std::deque<LoggedChange> m_log; ///< oldest first
    std::uint64_t m_logFloor = 0; ///< the log is complete behind this revision
    // Built when asked for, at m_indexedAt changes.
    mutable std::map<ServiceName, std::vector<const UpstreamEntry *>> m_usable;
    mutable std::unordered_map<UpstreamHash, const UpstreamEntry *> m_byTag;
    mutable std::uint64_t m_indexedAt = 0;
    std::uint64_t m_revision = 0;
    bool m_inContact = false;
    bool m_wasInContact = false; ///< at any time before
    bool m_catchesUp = false; ///< the registry's first answer after an outage is still to come
    Time m_graceUntil{};
};

} // namespace reachlead

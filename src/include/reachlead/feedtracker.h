// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway knows of the kinds of state that it follows at the platform's store.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/storerevision.h>

namespace reachlead {

/// The kinds of state that a gateway follows.
enum class FeedKind : std::uint8_t { Config, Upstreams, Evacuations, Gateways, Quarantines, Size };

/// Tracks up to which revision of the store each kind of state is complete, and when that was last
/// verified. Not thread-safe, reads no clock.
///
/// A pending watch verifies nothing: if its answer is lost, it looks like a watch without changes.
/// Only an answer verifies a kind, for the time at which it was asked for. The store has one
/// revision counter, so its current revision verifies all kinds that are complete up to it. An
/// answer with a lower revision than was known when it was asked for is older than that state, or
/// the store has lost some of it, so it verifies nothing.
class FeedTracker
{
public:
    /// A kind that has not been verified for longer than allowed.
    struct Overdue
    {
        FeedKind kind = FeedKind::Config;
        StoreRevision revision; ///< up to which the kind is complete
        StoreRevision newest; ///< that the store is known to have
        Duration age{}; ///< since it was last verified, or since it was followed
    };

    /// Begins to track a kind. Calls depend on the \p required ones.
    void follow(FeedKind kind, bool required);

    /// This gateway begins to follow the store at \p now, at first or again.
    void start(Time now) { m_startedAt = now; }

    /// False for an answer whose revision is further above newest() than the store can have come,
    /// unless the answer before it was as far ahead. Call once for each answer.
    ///
    /// A wrong revision that is too high would make all later answers seem old, here and at the
    /// gateways that take it over. A gateway may have been cut off for long, though.
    bool isPlausible(StoreRevision revision);

    /// A list that may be old has been received: the kind is complete up to \p revision, but not
    /// verified.
    void listed(FeedKind kind, StoreRevision revision);

    /// All changes of a kind up to \p revision were received in an answer asked for at \p askedAt.
    void received(FeedKind kind, StoreRevision revision, Time askedAt);

    /// The store had \p revision in an answer asked for at \p askedAt, when \p known was newest().
    void storeRevisionRead(StoreRevision revision, Time askedAt, StoreRevision known = {});

    /// The revision up to which a kind is complete.
    StoreRevision revision(FeedKind kind) const { return feed(kind).revision; }

    /// The highest revision that the store has reported.
    StoreRevision newest() const { return m_newest; }

    /// Whether the store is known to have a newer revision, so that changes of the kind may be
    /// missing here.
    bool mayMissChanges(FeedKind kind) const { return feed(kind).revision < m_newest; }

    /// The time for which all required kinds are verified; empty: one of them never was.
    std::optional<Time> verifiedAt() const;

    /// Changes between two answers to a gateway that is in contact, with a wide margin.
    static constexpr std::uint64_t maxStep = 1'000'000;

    /// Kinds not verified for longer than \p limit, each reported once until it is verified again.
    std::vector<Overdue> takeOverdue(Time now, Duration limit);

private:
    struct Feed
    {
        bool isFollowed = false;
        bool isRequired = false;
        bool isReported = false; ///< by takeOverdue()
        StoreRevision revision;
        StoreRevision highest; ///< that it was ever complete up to
        std::optional<Time> verifiedAt;
    };

    static void verify(Feed &feed, Time askedAt);
    const Feed &feed(FeedKind kind) const { return m_feeds[static_cast<std::size_t>(kind)]; }
    Feed &feed(FeedKind kind) { return m_feeds[static_cast<std::size_t>(kind)]; }

    std::array<Feed, static_cast<std::size_t>(FeedKind::Size)> m_feeds;
    StoreRevision m_newest;
    std::optional<StoreRevision> m_doubtful; ///< of the last answer, if it was far ahead
    Time m_startedAt{};
};

} // namespace reachlead

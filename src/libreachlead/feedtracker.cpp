// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/feedtracker.h>

#include <algorithm>
#include <utility>

namespace reachlead {

void FeedTracker::follow(FeedKind kind, bool required)
{
    feed(kind).isFollowed = true;
    feed(kind).isRequired = required;
}

bool FeedTracker::isPlausible(StoreRevision revision)
{
    const bool isComparable = m_newest.isKnown() && revision.era == m_newest.era;
    const bool isFar =
        isComparable && revision > m_newest && revision.number - m_newest.number > maxStep;
    const std::optional<StoreRevision> before = std::exchange(m_doubtful, std::nullopt);
    if (isFar)
        m_doubtful = revision;
    return !isFar || (before && *before <= revision);
}

void FeedTracker::listed(FeedKind kind, StoreRevision revision)
{
    feed(kind).revision = revision;
    feed(kind).highest = std::max(feed(kind).highest, revision);
    m_newest = std::max(m_newest, revision);
}

void FeedTracker::received(FeedKind kind, StoreRevision revision, Time askedAt)
{
    listed(kind, std::max(revision, feed(kind).revision));
    if (revision >= feed(kind).highest)
        verify(feed(kind), askedAt);
}

void FeedTracker::storeRevisionRead(StoreRevision revision, Time askedAt, StoreRevision known)
{
    if (revision < known)
        return;
    m_newest = std::max(m_newest, revision);
    for (Feed &it : m_feeds) {
        if (it.isFollowed && it.revision >= revision)
            verify(it, askedAt);
    }
}

void FeedTracker::verify(Feed &feed, Time askedAt)
{
    feed.verifiedAt = std::max(feed.verifiedAt.value_or(askedAt), askedAt);
    feed.isReported = false;
}

std::optional<Time> FeedTracker::verifiedAt() const
{
    std::optional<Time> earliest;
    for (const Feed &it : m_feeds) {
        if (!it.isFollowed || !it.isRequired)
            continue;
        if (!it.verifiedAt)
            return std::nullopt;
        earliest = std::min(earliest.value_or(*it.verifiedAt), *it.verifiedAt);
    }
    return earliest;
}

std::vector<FeedTracker::Overdue> FeedTracker::takeOverdue(Time now, Duration limit)
{
    std::vector<Overdue> overdue;
    for (std::size_t n = 0; n < m_feeds.size(); ++n) {
        Feed &it = m_feeds[n];
        const Time since = std::max(it.verifiedAt.value_or(m_startedAt), m_startedAt);
        if (!it.isFollowed || it.isReported || now <= since + limit)
            continue;
        it.isReported = true;
        overdue.push_back({static_cast<FeedKind>(n), it.revision, m_newest, now - since});
    }
    return overdue;
}

} // namespace reachlead

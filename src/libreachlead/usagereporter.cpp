// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/usagereporter.h>

#include <algorithm>
#include <utility>

namespace reachlead {

WindowNumber UsageReporter::nextWindow(WindowNumber due) const
{
    const WindowNumber after = m_stored ? m_stored->record.window + 1 : 0;
    return std::max({after, m_lastSkipped + 1, due - maxWindowsBehind, m_firstWindow});
}

void UsageReporter::skip(WindowNumber window)
{
    m_lastSkipped = std::max(m_lastSkipped, window);
}

/// Takes the lease over once the holder has not renewed it for its whole duration. The stored
/// counts are sent again before those of later windows.
UsageAction UsageReporter::takeOver(const UsageView &view, UsageAction action) const
{
    if (m_readAt + maxReadAge < view.now) {
        action.step = UsageStep::Read;
        return action;
    }
    if (view.now < m_seenAt + m_lease)
        return action;
    ++action.record.token;
    action.step = UsageStep::Write;
    action.isTakeover = true;
    return action;
}

UsageAction UsageReporter::next(const UsageView &view) const
{
    UsageAction action;
    if (!m_isCurrent) {
        action.step = UsageStep::Read;
        return action;
    }
    const WindowNumber window = nextWindow(view.dueWindow);
    const bool isDue = window <= view.dueWindow;
    action.revision = StoreRevision(m_era, 0);
    if (m_stored) {
        action.record = m_stored->record;
        action.revision = m_stored->revision;
    }
    action.record.holder = m_self;
    ++action.record.renewals;
    if (m_stored && !isHolder())
        return isDue && view.hasCalls ? takeOver(view, std::move(action)) : action;
    if (m_stored && !m_isSent) {
        const bool maySend = m_writtenAt && view.now < *m_writtenAt + sendTimeout();
        action.step = maySend ? UsageStep::Send : UsageStep::Write;
        if (maySend) {
            action.record = m_stored->record;
            action.limit = *m_writtenAt + sendTimeout() - view.now;
        }
        return action;
    }
    const bool mayHoldLease = m_stored || !m_absentSince || *m_absentSince + m_lease <= view.now;
    if (!isDue || !view.isComplete || !mayHoldLease)
        return action;
    action.record.window = window;
    if (view.counts.empty()) {
        action.step = UsageStep::Skip;
        return action;
    }
    action.isTakeover = !m_stored;
    action.record.token = std::max(action.record.token, firstToken(m_era));
    action.record.counts = view.counts;
    action.step = UsageStep::Write;
    return action;
}

void UsageReporter::onRead(const std::optional<StoredUsage> &stored, std::uint64_t era, Time now,
                           WindowNumber openWindow)
{
    const bool isNewEra = std::exchange(m_era, era) != era;
    if (stored) {
        m_absentSince.reset();
    } else if (isNewEra || !m_absentSince) {
        m_absentSince = now;
        m_firstWindow = openWindow;
    }
    const bool isSame = m_stored && stored && m_stored->revision == stored->revision;
    m_isCurrent = true;
    m_readAt = now;
    if (isSame)
        return;
    m_stored = stored;
    // The holder started its write earlier, so its lease ends no later than one that starts now.
    m_seenAt = now;
    m_writtenAt.reset();
    m_isSent = false;
}

void UsageReporter::onWritten(const UsageRecord &record, StoreRevision revision, Time startedAt)
{
    m_stored = {record, revision};
    m_isCurrent = true;
    m_readAt = startedAt;
    m_seenAt = startedAt;
    m_writtenAt = startedAt;
    m_isSent = false;
}

void UsageReporter::onSent(const UsageRecord &record)
{
    if (m_stored && m_stored->record == record)
        m_isSent = true;
}

} // namespace reachlead

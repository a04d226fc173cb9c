// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/versionrecord.h>

#include <chrono>

namespace reachlead {

namespace {

constexpr UnixMillis retentionMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(VersionRecord::retention).count();

} // namespace

bool VersionRecord::isComplete(std::uint64_t storeEra, UnixMillis now) const
{
    return era == storeEra && (completeSince == 0 || completeSince + retentionMs <= now);
}

std::set<SoftwareVersion> VersionRecord::recent(UnixMillis now) const
{
    std::set<SoftwareVersion> versions;
    for (const auto &[version, at] : goneAt) {
        if (at == 0 || now < at + retentionMs)
            versions.insert(version);
    }
    return versions;
}

VersionRecord VersionRecord::next(const std::optional<VersionRecord> &stored,
                                  std::uint64_t storeEra, const std::set<SoftwareVersion> &serving,
                                  const std::set<SoftwareVersion> &observed, UnixMillis now)
{
    VersionRecord record;
    record.era = storeEra;
    // Without a record in a store that was never restored, no gateway has served here before.
    const bool isLost = stored ? stored->era != storeEra : storeEra != 0;
    if (stored) {
        record.completeSince = stored->completeSince;
        record.goneAt = stored->goneAt;
    }
    if (isLost)
        record.completeSince = now;
    for (const SoftwareVersion &version : observed)
        record.goneAt.try_emplace(version, 0);
    for (auto &[version, at] : record.goneAt) {
        if (serving.contains(version))
            at = 0;
        else if (at == 0)
            at = now;
    }
    for (const SoftwareVersion &version : serving)
        record.goneAt.try_emplace(version, 0);
    std::erase_if(record.goneAt, [now](const auto &it) {
        return it.second != 0 && it.second + retentionMs <= now;
    });
    return record;
}

} // namespace reachlead

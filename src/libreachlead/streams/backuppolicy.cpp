// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/backuppolicy.h>

#include <algorithm>
#include <tuple>

namespace reachlead {

bool isBackupWorthwhile(const BackupSettings &settings, const RunOutlook &run)
{
    if (!settings.isEnabled || run.isResumable)
        return false;
    const TokenCount limit = run.isAtRisk ? settings.maxRunTokensAtRisk : settings.maxRunTokens;
    return run.tokens() > 0 && run.tokens() <= limit;
}

namespace {

/// Gateways do not coordinate, so each takes an equal share of an engine's memory. The first copy
/// is exempt from it: otherwise a large fleet of gateways could not back up anything.
bool hasTokensLeft(const BackupSettings &settings, const BackupBounds &bounds, TokenCount tokens,
                   TokenCount reserved)
{
    const double total = settings.memoryShare * static_cast<double>(bounds.engineTokens);
    if (static_cast<double>(tokens) > total)
        return false;
    const double share = total / static_cast<double>(std::max<std::size_t>(bounds.gateways, 1));
    return reserved == 0 || static_cast<double>(reserved + tokens) <= share;
}

} // namespace

std::optional<UpstreamId> chooseBackupEngine(const BackupSettings &settings,
                                             const BackupBounds &bounds,
                                             const UpstreamEntry &engine, TokenCount tokens,
                                             std::span<const BackupCandidate> candidates)
{
    const auto isEligible = [&](const BackupCandidate &it) {
        return it.isHealthy && it.entry->id != engine.id
            && it.entry->address.address != engine.address.address
            && it.entry->softwareVersion == engine.softwareVersion && it.running < it.entry->slots
            && hasTokensLeft(settings, bounds, tokens, it.reservedTokens);
    };
    const auto rank = [&](const BackupCandidate &it) {
        return std::tuple(it.entry->zone != engine.zone, it.reservedTokens, it.running);
    };
    const BackupCandidate *best = nullptr;
    for (const BackupCandidate &candidate : candidates) {
        if (isEligible(candidate) && (best == nullptr || rank(candidate) < rank(*best)))
            best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->entry->id);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides which runs are backed up at a second engine, and at which one. Pure functions.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include <reachlead/routing.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// The settings of backups.
struct BackupSettings
{
    bool isEnabled = false;
    /// Largest run to be backed up, in tokens of the prompt and the expected answer. The cost of a
    /// copy grows with the run's memory, while a caller that loses its answer loses the time that
    /// it has waited, however long the prompt was.
    TokenCount maxRunTokens = 4096;
    /// The same for a run on an engine that lost a connection to this gateway lately.
    TokenCount maxRunTokensAtRisk = 16'384;
    /// Largest share of an engine's memory for the copies of all gateways together.
    double memoryShare = 0.2;
};

/// A run that is about to be sent to an engine.
struct RunOutlook
{
    /// The answer may be resumed without a copy, at the cost of prefilling the prompt again.
    bool isResumable = false;
    bool isAtRisk = false; ///< its engine lost a connection lately
    TokenCount promptTokens = 0;
    TokenCount outputTokens = 0; ///< expected; 0: not known

    TokenCount tokens() const { return promptTokens + outputTokens; }
};

/// True if the run is to be backed up.
///
/// Load pattern: engines crash or exit, several at once, with streams of many accounts on them.
/// Answers that may not be resumed are lost with them; those that may be are only delayed.
bool isBackupWorthwhile(const BackupSettings &settings, const RunOutlook &run);

/// An engine that may hold the copy of a run.
struct BackupCandidate
{
    const UpstreamEntry *entry = nullptr;
    bool isHealthy = true;
    std::uint32_t running = 0; ///< requests that it runs
    TokenCount reservedTokens = 0; ///< for the copies of this gateway
};

/// Bounds on the copies of one gateway at one engine.
struct BackupBounds
{
    std::uint64_t engineTokens = 0; ///< capacity of an engine; 0: not known
    std::size_t gateways = 1; ///< that share the engines
};

/// Returns the engine that is to hold the copy of a run of \p tokens on \p engine; nullopt if none
/// may. It is on another VM, has the same software version, is healthy and has tokens left. One in
/// the zone of the run is preferred, as transfers between zones take longer and are charged; after
/// that, the one with the fewest reserved tokens and then the fewest running requests.
std::optional<UpstreamId> chooseBackupEngine(const BackupSettings &settings,
                                             const BackupBounds &bounds,
                                             const UpstreamEntry &engine, TokenCount tokens,
                                             std::span<const BackupCandidate> candidates);

} // namespace reachlead

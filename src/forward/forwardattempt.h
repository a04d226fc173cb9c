// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The state of one send of a call to an upstream.

#pragma once

#include <optional>
#include <string>

#include <reachlead/headercodec.h>
#include <reachlead/streams/backupledger.h>
#include <reachlead/upstreamdirectory.h>

#include "upstream/upstreamexchange.h"

namespace reachlead {

/// What belongs to one send alone: its upstream, its connection, and the answer received. A call
/// makes a new one for each send, so that no part of an earlier answer can be delivered with a
/// later one.
struct ForwardAttempt
{
    UpstreamId upstream;
    SoftwareVersion version; ///< of the upstream, as known when the call was sent
    VmName placedBy; ///< the gateway that selected the upstream
    double cost = 0;
    double speed = 1.0; ///< as UpstreamSpeeds::speed() when the call was sent
    TokenCount prefillTokens = 0; ///< expected by the selection
    TokenCount pendingPrefillTokens = 0; ///< until the first event
    TokenCount tokensToFirstEvent = 0; ///< as in Selection
    bool isShortPrompt = false; ///< as in Selection
    std::optional<Endpoint> fetchFrom; ///< whose cache to copy from
    std::optional<RunCopy> continueFrom; ///< the copy that the run goes on from
    std::optional<BackupLedger::Reservation> backup; ///< the engine that is sent the run's memory

    Time sentAt{};
    bool awaitsFirstEvent = true; ///< no event was received yet
    bool isConnectionRefused = false;
    UpstreamChannelPtr channel;
    std::optional<UpstreamExchange> exchange;

    std::string body; ///< of an answer that is delivered once it is complete
    bool isBodyComplete = false; ///< a chunked answer was passed on up to its end
    std::optional<Time> firstByteAt; ///< of the body
    std::string reason; ///< why the attempt failed
};

} // namespace reachlead

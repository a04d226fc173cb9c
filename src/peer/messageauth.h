// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The texts that routers and agents sign to prove that they belong to the fleet.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/fleetkeys.h>
#include <reachlead/messages.h>

namespace reachlead {

/// What a router signs in its Hello: bound to this connection by the agent's nonce.
std::string helloSigningInput(const std::string &agentNonce, const VmName &agent,
                              const Hello &hello);

/// What an agent signs in its Welcome: bound to this connection by the router's nonce.
std::string welcomeSigningInput(const std::string &routerNonce, const Welcome &welcome);

/// What an agent signs of a heartbeat: all of it but the proof.
std::string heartbeatSigningInput(Heartbeat beat);

/// What gateways send each other, so that a tag of one kind proves nothing for another.
enum class PeerMessageKind : char {
    Heartbeat = 'b',
    StateQuery = 'a',
    StateUpdate = 'n',
    PlacementQuery = 'p',
    PlacementReply = 'q',
    GroupLoad = 'l',
    UsageQuery = 'v',
    UsageReport = 'u',
    CrashReport = 'c',
    Quarantine = 'k'
};

/// A message of gateways with its proof behind it; without keys, the message alone. \p nonce binds
/// an answer to its question.
std::string signMessage(const FleetKeys &keys, PeerMessageKind kind, std::string_view nonce,
                        std::string message);

/// The message of what signMessage() made with the same kind and nonce; nothing when no key made
/// the proof.
std::optional<std::string_view> verifyMessage(const FleetKeys &keys, PeerMessageKind kind,
                                              std::string_view nonce, std::string_view bytes);

} // namespace reachlead

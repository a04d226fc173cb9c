// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Authentication of messages between routers, agents and gateways by the shared fleet keys.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/fleetkeys.h>
#include <reachlead/messages.h>

namespace reachlead {

/// The text that a router signs in its Hello; the agent's nonce binds it to this connection.
std::string helloSigningInput(const std::string &agentNonce, const VmName &agent,
                              const Hello &hello);

/// The text that an agent signs in its Welcome; the router's nonce binds it to this connection.
std::string welcomeSigningInput(const std::string &routerNonce, const Welcome &welcome);

/// The bytes that an agent signs in a heartbeat: the whole message except the proof.
std::string heartbeatSigningInput(Heartbeat heartbeat);

/// Kinds of messages between gateways. The kind is covered by the authentication tag, so that the
/// tag of one kind is invalid for another.
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
    Quarantine = 'k',
    StreamCopy = 's',
    StreamQuery = 'w',
    StreamReply = 'r',
    StreamsToStore = 'f',
    PartCrashReport = 'x',
    PartAnnouncement = 't',
    PartBegin = 'g',
    WaitingCallNote = 'e',
    LimitShareRequest = 'm',
    LimitShareGrant = 'y'
};

/// Returns a message between gateways followed by its authentication tag; without keys, the message
/// alone. \p nonce binds a reply to its query.
std::string signMessage(const FleetKeys &keys, PeerMessageKind kind, std::string_view nonce,
                        std::string message);

/// Returns the message that signMessage() was given with the same kind and nonce; nothing when the
/// tag is missing or was made with none of the keys. Without keys, \p bytes is the message.
std::optional<std::string_view> verifyMessage(const FleetKeys &keys, PeerMessageKind kind,
                                              std::string_view nonce, std::string_view bytes);

} // namespace reachlead

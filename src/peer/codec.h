// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Frames between routers and agents: a 4-byte little-endian length followed by a cereal message.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/messages.h>

namespace reachlead {

/// Size of the length prefix of each frame.
inline constexpr std::size_t frameHeaderBytes = 4;

/// Appends a complete frame, including its length prefix, to \p out.
void appendFrame(std::string *out, const ToAgent &message);
void appendFrame(std::string *out, const ToRouter &message);

/// Reads a frame's length prefix; empty when the length exceeds maxFrameBytes.
std::optional<std::size_t> frameLength(std::string_view head);

/// Decodes one frame's payload, without the length prefix. Returns nothing and sets \p reason when
/// the bytes are not such a message; never throws.
std::optional<ToAgent> decodeToAgent(std::string_view payload, std::string *reason);
std::optional<ToRouter> decodeToRouter(std::string_view payload, std::string *reason);

/// Heartbeats are sent as datagrams, without a length prefix.
std::string encodeHeartbeat(const Heartbeat &heartbeat);
std::optional<Heartbeat> decodeHeartbeat(std::string_view payload, std::string *reason);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Frames between routers and agents: a 4-byte little-endian length, then a cereal message.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/messages.h>

namespace reachlead {

/// Bytes of the length ahead of each frame.
inline constexpr std::size_t frameHeaderBytes = 4;

/// Appends a whole frame, length included, to \p out.
void appendFrame(std::string *out, const ToAgent &message);
void appendFrame(std::string *out, const ToRouter &message);

/// Reads the length of a frame; empty when it passes maxFrameBytes.
std::optional<std::size_t> frameLength(std::string_view head);

/// Decodes one frame's payload, without the length. Empty with \p reason set when the bytes are
/// not such a message; no exception leaves.
std::optional<ToAgent> decodeToAgent(std::string_view payload, std::string *reason);
std::optional<ToRouter> decodeToRouter(std::string_view payload, std::string *reason);

/// Datagrams have no length ahead.
std::string encodeHeartbeat(const Heartbeat &beat);
std::optional<Heartbeat> decodeHeartbeat(std::string_view payload, std::string *reason);

} // namespace reachlead

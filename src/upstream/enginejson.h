// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The JSON between an agent and a model engine.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/messages.h>

namespace reachlead {

/// The body for the engine: the caller's, with streaming on, and the priority, the request id and
/// where to resume set. Empty when the caller's body is not a JSON object.
std::optional<std::string> engineRequestBody(const Dispatch &dispatch);

/// One event of an engine's stream.
struct EngineEvent
{
    enum class Kind : std::uint8_t { Text, Empty, Done, Malformed };
    Kind kind = Kind::Empty;
    std::string text;
};

/// Reads the data of one server-sent event.
EngineEvent parseEngineEvent(std::string_view data);

} // namespace reachlead

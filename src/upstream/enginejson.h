// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON bodies of the calls of an agent to a model engine.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/messages.h>

namespace reachlead {

/// The caller's request body with streaming enabled, and the priority, the request id and the
/// position to resume from added. Empty when the caller's body is not a JSON object.
std::optional<std::string> engineRequestBody(const Dispatch &dispatch);

/// One event of an engine's answer.
struct EngineEvent
{
    enum class Kind : std::uint8_t { Text, Empty, Done, Malformed };
    Kind kind = Kind::Empty;
    std::string text;
    std::string run; ///< the id of the run; empty: none
    bool isFinal = false; ///< has a reason why the text ends
};

/// Parses the data of one server-sent event. An error in place of the event, a choice that was not
/// asked for and a text of another type are Malformed.
EngineEvent parseEngineEvent(std::string_view data);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lines of an event stream (WHATWG HTML, section 9.2).

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace reachlead {

/// May stand at the beginning of a stream.
inline constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

/// True if a `Content-Type` names an event stream, in any case and with any parameters.
bool isEventStreamType(std::string_view contentType);

/// A line that is neither empty nor a comment.
struct EventField
{
    std::string_view name;
    std::string_view value;
    bool hasColon = false; ///< without one, the value is empty
};

/// Splits a line without its end. A space behind the colon is not part of the value.
EventField parseEventField(std::string_view line);

/// True for names such as `data` and `weight-versions`: letters, digits, `-`, `_` and `.`.
bool isEventFieldName(std::string_view name);

/// A decimal number of 64 bits, without anything else.
std::optional<std::uint64_t> parseEventId(std::string_view value);

} // namespace reachlead

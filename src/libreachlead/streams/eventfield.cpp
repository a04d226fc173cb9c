// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/eventfield.h>

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>

namespace reachlead {

namespace {

constexpr bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

bool isEventStreamType(std::string_view contentType)
{
    std::string_view type = contentType.substr(0, contentType.find(';'));
    while (type.ends_with(' ') || type.ends_with('\t'))
        type.remove_suffix(1);
    return boost::beast::iequals({type.data(), type.size()}, "text/event-stream");
}

EventField parseEventField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {line, {}, false};
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return {line.substr(0, colon), value, true};
}

bool isEventFieldName(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, isNameCharacter);
}

std::optional<std::uint64_t> parseEventId(std::string_view value)
{
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool isWhole = parsed.ptr == value.data() + value.size();
    return parsed.ec == std::errc() && isWhole ? std::optional(id) : std::nullopt;
}

} // namespace reachlead

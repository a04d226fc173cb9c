// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/eventsequence.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace reachlead {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(EventFault::Size)> faultNames{
    "too-long",  "invalid-field", "no-id",    "invalid-id",
    "second-id", "no-data",       "repeated", "skipped"};

/// The characters of names such as `weight-versions`.
constexpr bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, isNameCharacter);
}

} // namespace

std::string_view toString(EventFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

std::optional<EventRejection> EventSequence::addLine(std::string_view line)
{
    // The format also ends a line at a lone CR: the rest would be other fields to some callers.
    if (line.find('\r') != std::string_view::npos)
        return reject(EventFault::InvalidField);
    const bool isComment = line.starts_with(':');
    if (isComment)
        return std::nullopt;
    const std::optional<EventFault> fault = line.empty() ? endEvent() : addField(line);
    if (fault)
        return reject(*fault);
    return std::nullopt;
}

std::optional<EventFault> EventSequence::addField(std::string_view line)
{
    constexpr std::string_view emptyData = "data"; // the format's short form
    m_event.hasFields = true;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (!isFieldName(name) || (colon == std::string_view::npos && name != emptyData))
        return EventFault::InvalidField;
    if (name == "data")
        m_event.hasData = true;
    if (name != "id")
        return std::nullopt;
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return addId(value);
}

std::optional<EventFault> EventSequence::addId(std::string_view value)
{
    if (m_event.id)
        return EventFault::SecondId;
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool isWhole = parsed.ptr == value.data() + value.size();
    if (parsed.ec != std::errc() || !isWhole)
        return EventFault::InvalidId;
    m_event.id = id;
    return std::nullopt;
}

std::optional<EventFault> EventSequence::endEvent()
{
    if (!m_event.hasFields)
        return std::nullopt;
    if (!m_event.id)
        return EventFault::NoId;
    if (!m_event.hasData)
        return EventFault::NoData;
    const std::uint64_t id = *m_event.id;
    if (m_position && id <= *m_position)
        return EventFault::Repeated;
    if (m_position && id > *m_position + 1)
        return EventFault::Skipped;
    m_position = id;
    m_lastId = id;
    ++m_eventCount;
    m_event = {};
    return std::nullopt;
}

EventRejection EventSequence::reject(EventFault fault) const
{
    EventRejection rejection{fault, std::nullopt, m_event.id};
    if (m_position && *m_position < std::numeric_limits<std::uint64_t>::max())
        rejection.due = *m_position + 1;
    return rejection;
}

} // namespace reachlead

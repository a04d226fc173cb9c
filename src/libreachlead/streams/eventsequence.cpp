// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/streams/eventsequence.h>

#include <array>
#include <limits>

#include <reachlead/streams/eventfield.h>

namespace reachlead {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(EventFault::Size)> faultNames{
    "too-long",  "invalid-field", "no-id",    "invalid-id",
    "second-id", "no-data",       "repeated", "skipped"};

} // namespace

std::string_view toString(EventFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

std::optional<EventRejection> EventSequence::addLine(std::string_view line)
{
    // The format also ends a line at a lone CR: the rest would be other fields to some callers.
    if (line.find('\r') != std::string_view::npos)
        return rejection(EventFault::InvalidField);
    const bool isComment = line.starts_with(':');
    if (isComment)
        return std::nullopt;
    const std::optional<EventFault> fault = line.empty() ? endEvent() : addField(line);
    if (fault)
        return rejection(*fault);
    return std::nullopt;
}

std::optional<EventFault> EventSequence::addField(std::string_view line)
{
    constexpr std::string_view dataName = "data"; // may stand alone
    m_event.hasFields = true;
    const EventField field = parseEventField(line);
    const bool isNamed = field.hasColon && isEventFieldName(field.name);
    if (!isNamed && line != dataName)
        return EventFault::InvalidField;
    m_event.hasData = m_event.hasData || field.name == dataName;
    return field.name == "id" ? addId(field.value) : std::nullopt;
}

std::optional<EventFault> EventSequence::addId(std::string_view value)
{
    if (m_event.id)
        return EventFault::SecondId;
    m_event.id = parseEventId(value);
    if (!m_event.id)
        return EventFault::InvalidId;
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

EventRejection EventSequence::rejection(EventFault fault) const
{
    EventRejection rejected{fault, std::nullopt, m_event.id};
    if (m_position && *m_position < std::numeric_limits<std::uint64_t>::max())
        rejected.due = *m_position + 1;
    return rejected;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Checks that the events of a stream are those of one run, in order.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace reachlead {

/// Why an event cannot be the next one of its run.
enum class EventFault : std::uint8_t {
    TooLong,
    InvalidField, ///< a line that is neither a comment nor a named field
    NoId,
    InvalidId, ///< not a decimal number of 64 bits
    SecondId, ///< two events without an empty line between them
    NoData,
    Repeated, ///< the id of an earlier event, or lower than the position asked for
    Skipped, ///< events between the one before and this one are missing
    Size
};

std::string_view toString(EventFault fault);

/// An event that was rejected. Its other bytes are dropped.
struct EventRejection
{
    EventFault fault = EventFault::TooLong;
    std::optional<std::uint64_t> due; ///< id of the next event; none: any, or none can follow
    std::optional<std::uint64_t> seen; ///< id of the event, if it has a valid one
};

/// Follows the events of a run line by line. An event has one `id` and at least one `data` field;
/// ids are the consecutive numbers of the events of a run. Further fields are accepted, as are
/// comments and empty lines between events. Not thread-safe.
class EventSequence
{
public:
    /// \p position is the id after which the run goes on; none: the first event may have any id.
    void goOnAfter(std::optional<std::uint64_t> position) { m_position = position; }

    /// Adds a complete line, without its end. Returns why the event that the line belongs to cannot
    /// be the next one; the sequence must not be used any more then.
    std::optional<EventRejection> addLine(std::string_view line);

    /// The rejection of the next event for \p fault.
    EventRejection rejection(EventFault fault) const;

    /// Forgets the lines of an incomplete event.
    void dropPartialEvent() { m_event = {}; }

    /// The id of the last event; nothing if there was none.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// The number of events.
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    /// What is known of an incomplete event.
    struct PartialEvent
    {
        bool hasFields = false;
        bool hasData = false;
        std::optional<std::uint64_t> id;
    };

    std::optional<EventFault> addField(std::string_view line);
    std::optional<EventFault> addId(std::string_view value);
    std::optional<EventFault> endEvent();

    PartialEvent m_event;
    std::optional<std::uint64_t> m_position;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount = 0;
};

} // namespace reachlead

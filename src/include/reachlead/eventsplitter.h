// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Splits the bytes of an event stream at event boundaries.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reachlead {

/// Buffers an incomplete event, so that a caller never gets a part of one. Follows the event stream
/// format of the HTML standard: fields in lines, an empty line after each event. Not thread-safe.
class EventSplitter
{
public:
    /// Appends bytes and returns those up to the end of the last complete event. Sets \p tooLong
    /// when the incomplete event exceeds maxEventBytes.
    std::string feed(std::string_view bytes, bool *tooLong);

    /// True when an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_held.empty(); }

    /// The size of the incomplete event.
    std::size_t partialBytes() const { return m_held.size(); }

    /// Discards the incomplete event; the stream is resumed from another upstream.
    void dropPartialEvent() { m_held.clear(); }

    /// The id of the last event that feed() returned; nothing if no event had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// The number of events that feed() returned.
    std::uint64_t eventCount() const { return m_events; }

    static constexpr std::size_t maxEventBytes = 1U << 20U;

private:
    void scanEvents(std::string_view whole);
    void scanLine(std::string_view line);

    std::string m_held;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cuts the bytes of an event stream at the ends of its events.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reachlead {

/// Holds back the bytes of an event that is not whole yet, so that a caller never gets a part of
/// one. Not thread-safe. Follows the event stream format of the HTML standard: fields in lines, an
/// empty line after each event.
class EventSplitter
{
public:
    /// Takes bytes and returns those up to the end of the last whole event. Empty with
    /// \p tooLong set when one event passes mostHeld.
    std::string feed(std::string_view bytes, bool *tooLong);

    /// True when bytes of an event are held whose end did not come.
    bool hasPartialEvent() const { return !m_held.empty(); }

    /// Forgets the bytes that are held; the stream goes on from another source.
    void dropPartialEvent() { m_held.clear(); }

    /// The id of the last event that feed() returned; none: no event had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// The events that feed() returned so far.
    std::uint64_t eventCount() const { return m_events; }

    static constexpr std::size_t maxEventBytes = 1U << 20U; ///< bytes of one event

private:
    void noteEvents(std::string_view whole);
    void noteLine(std::string_view line);

    std::string m_held;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace reachlead

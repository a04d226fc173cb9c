// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Splits the bytes of an event stream at event boundaries.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/streams/eventsequence.h>

namespace reachlead {

/// Which events of an answer are passed on.
enum class EventCheck : std::uint8_t {
    None, ///< all that are complete
    OfOneRun ///< those up to the first one that cannot be the next one of the run
};

/// Buffers an incomplete event, so that a caller never gets a part of one. Follows the event stream
/// format of the HTML standard: fields in lines, an empty line after each event. A byte order mark
/// at the beginning of an answer is left out. Not thread-safe.
class EventSplitter
{
public:
    /// Begins an answer, which goes on after the last event returned or, before the first one,
    /// after the id \p position; without one the first event may have any id. What is left of an
    /// incomplete event is discarded.
    void beginAnswer(EventCheck check, std::optional<std::uint64_t> position);

    /// Ends an answer: discards what is left of an incomplete event.
    void dropPartialEvent() { m_held = {}; }

    /// Appends bytes and returns those up to the end of the last complete event, or up to the first
    /// event that is rejected. Nothing may be fed after a rejection until an answer begins.
    std::string feed(std::string_view bytes);

    /// Why an event was rejected; nothing if none was.
    const std::optional<EventRejection> &rejection() const { return m_rejection; }

    /// True when an incomplete event is buffered; comments are no part of one.
    bool hasPartialEvent() const;

    /// The number of bytes that are buffered.
    std::size_t partialBytes() const { return m_held.size(); }

    /// The id of the last event that feed() returned; nothing if no event had one.
    std::optional<std::uint64_t> lastId() const { return m_sequence.lastId(); }

    /// The number of events that feed() returned.
    std::uint64_t eventCount() const { return m_sequence.eventCount() + m_uncheckedCount; }

    static constexpr std::size_t maxEventBytes = 1U << 20U;

private:
    bool skipByteOrderMark();
    std::size_t soundBytes(std::string_view whole);
    std::optional<EventRejection> checkLine(std::string_view line);

    std::string m_held;
    bool m_isAtStart = true; ///< of an answer
    EventCheck m_check = EventCheck::OfOneRun;
    EventSequence m_sequence;
    std::uint64_t m_uncheckedCount = 0; ///< events returned of answers with EventCheck::None
    std::optional<EventRejection> m_rejection;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Splits a stream of bytes into server-sent events (WHATWG HTML, section 9.2).

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reachlead {

/// Collects bytes and gives the data of whole events. Not thread-safe.
class SseDecoder
{
public:
    /// Bytes of one event over which the stream is given up.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Takes bytes; gives the data of each event they complete. Empty when an event is too
    /// large; the decoder is of no use from then on.
    std::optional<std::vector<std::string>> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<std::string> *events);

    std::string m_line; ///< the line that has no end yet
    std::string m_data; ///< data lines of the event that has no end yet
    bool m_hasData = false;
};

} // namespace reachlead

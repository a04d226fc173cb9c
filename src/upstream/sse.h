// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Splits a stream of bytes into server-sent events (WHATWG HTML, section 9.2).

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace reachlead {

/// Incremental decoder. Not thread-safe.
class SseDecoder
{
public:
    /// Larger events are an error.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Decodes more bytes and returns the data of each event that they complete. Stops in front of
    /// the first block that is no event; fault() is set then, and later bytes are ignored.
    std::vector<std::string> feed(std::string_view bytes);

    /// What was wrong with the stream; empty if nothing was.
    std::string_view fault() const { return m_fault; }

    /// True if the bytes behind the last event are more than comments and empty lines.
    bool hasTrailingFields() const
    {
        return m_hasTrailingFields || !(m_line.empty() || m_line.starts_with(':'));
    }

private:
    void processLine(std::string_view line, std::vector<std::string> *events);
    void endBlock(std::vector<std::string> *events);

    std::string m_line; ///< incomplete line
    std::string m_data; ///< data of the incomplete event
    std::string_view m_fault;
    std::optional<std::uint64_t> m_id; ///< of the incomplete event, if decimal
    std::optional<std::uint64_t> m_lastId; ///< of the last event that has one
    bool m_hasData = false;
    bool m_hasUnknownField = false;
    bool m_hasTrailingFields = false; ///< complete lines behind the last event
    bool m_isFirstLine = true;
};

} // namespace reachlead

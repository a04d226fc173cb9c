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

/// Incremental decoder. Not thread-safe.
class SseDecoder
{
public:
    /// Larger events are an error.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Decodes more bytes and returns the data of each event that they complete. Empty when an
    /// event is too large; the decoder must not be used any more then.
    std::optional<std::vector<std::string>> feed(std::string_view bytes);

private:
    void processLine(std::string_view line, std::vector<std::string> *events);

    std::string m_line; ///< incomplete line
    std::string m_data; ///< data of the incomplete event
    bool m_hasData = false;
};

} // namespace reachlead

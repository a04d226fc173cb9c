// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/eventsplitter.h>

#include <charconv>

namespace reachlead {

namespace {

/// The offset behind the last complete event in \p text; 0 when there is none.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 3;
    return std::max(lfEnd, crlfEnd);
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes, bool *tooLong)
{
    m_held.append(bytes);
    const std::size_t end = endOfLastEvent(m_held);
    std::string whole = m_held.substr(0, end);
    m_held.erase(0, end);
    *tooLong = m_held.size() > maxEventBytes;
    scanEvents(whole);
    return whole;
}

void EventSplitter::scanEvents(std::string_view whole)
{
    while (!whole.empty()) {
        const std::size_t end = whole.find('\n');
        std::string_view line = whole.substr(0, end);
        whole.remove_prefix(end == std::string_view::npos ? whole.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        scanLine(line);
    }
}

void EventSplitter::scanLine(std::string_view line)
{
    if (line.empty()) {
        ++m_events;
        return;
    }
    if (!line.starts_with("id:"))
        return;
    line.remove_prefix(3);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
        m_lastId = id;
}

} // namespace reachlead

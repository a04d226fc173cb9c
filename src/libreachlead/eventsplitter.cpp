// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/eventsplitter.h>

#include <charconv>
#include <cstring>

namespace reachlead {

namespace {

/// The offset behind the last complete event in \p text; 0 when there is none. None ends before
/// \p searched, so that a long event is not searched again with each of its parts.
std::size_t endOfLastEvent(std::string_view text, std::size_t searched)
{
    std::string_view unsearched = text.substr(searched);
    while (const void *newline = ::memrchr(unsearched.data(), '\n', unsearched.size())) {
        unsearched = unsearched.substr(0, static_cast<const char *>(newline) - unsearched.data());
        const std::string_view before = text.substr(0, searched + unsearched.size());
        if (before.ends_with("\n") || before.ends_with("\n\r"))
            return before.size() + 1;
    }
    return 0;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes, bool *tooLong)
{
    const std::size_t searched = m_held.size();
    m_held.append(bytes);
    const std::size_t end = endOfLastEvent(m_held, searched);
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

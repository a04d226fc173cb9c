// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/eventsplitter.h>

#include <algorithm>
#include <cstring>
#include <ranges>

#include <reachlead/streams/eventfield.h>

namespace reachlead {

namespace {

/// The offset behind the last empty line in \p text, which begins with a line; 0 when there is
/// none. None ends before \p searched, so that a long event is not searched again with each of its
/// parts.
std::size_t endOfLastEvent(std::string_view text, std::size_t searched)
{
    std::string_view unsearched = text.substr(searched);
    while (const void *newline = ::memrchr(unsearched.data(), '\n', unsearched.size())) {
        unsearched = unsearched.substr(0, static_cast<const char *>(newline) - unsearched.data());
        const std::string_view before = text.substr(0, searched + unsearched.size());
        const bool isFirstLine = before.empty() || before == "\r";
        if (isFirstLine || before.ends_with("\n") || before.ends_with("\n\r"))
            return before.size() + 1;
    }
    return 0;
}

} // namespace

void EventSplitter::beginAnswer(EventCheck check, std::optional<std::uint64_t> position)
{
    m_check = check;
    m_held.clear();
    m_isAtStart = true;
    m_rejection.reset();
    m_sequence.dropPartialEvent();
    if (!m_sequence.lastId())
        m_sequence.goOnAfter(position);
}

std::string EventSplitter::feed(std::string_view bytes)
{
    const std::size_t searched = m_isAtStart ? 0 : m_held.size();
    m_held.append(bytes);
    if (!skipByteOrderMark())
        return {};
    const std::size_t end = endOfLastEvent(m_held, searched);
    std::string whole = m_held.substr(0, end);
    m_held.erase(0, end);
    whole.resize(soundBytes(whole));
    if (!m_rejection && m_held.size() > maxEventBytes)
        m_rejection = m_check == EventCheck::OfOneRun ? m_sequence.rejection(EventFault::TooLong)
                                                      : EventRejection{};
    if (m_rejection)
        m_held.clear();
    return whole;
}

/// Returns false as long as the bytes may be a part of the mark.
bool EventSplitter::skipByteOrderMark()
{
    if (!m_isAtStart)
        return true;
    const bool mayBePart = m_held.size() < byteOrderMark.size();
    if (mayBePart && byteOrderMark.starts_with(m_held))
        return false;
    m_isAtStart = false;
    if (m_held.starts_with(byteOrderMark))
        m_held.erase(0, byteOrderMark.size());
    return true;
}

bool EventSplitter::hasPartialEvent() const
{
    return std::ranges::any_of(m_held | std::views::split('\n'), [](const auto &it) {
        const std::string_view line(it.begin(), it.end());
        return !line.empty() && !line.starts_with(':');
    });
}

/// Returns the size of the events before the first one that is rejected.
std::size_t EventSplitter::soundBytes(std::string_view whole)
{
    std::size_t sound = 0;
    std::size_t at = 0;
    while (at < whole.size() && !m_rejection) {
        const std::size_t end = whole.find('\n', at);
        std::string_view line = whole.substr(at, end - at);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_rejection = checkLine(line);
        at = end + 1;
        if (line.empty() && !m_rejection)
            sound = at;
    }
    return sound;
}

std::optional<EventRejection> EventSplitter::checkLine(std::string_view line)
{
    if (m_check == EventCheck::OfOneRun)
        return m_sequence.addLine(line);
    m_uncheckedCount += line.empty() ? 1 : 0;
    return std::nullopt;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/sse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace reachlead {

namespace {

/// The fields of the standard. Others are ignored in an event, but don't make one.
constexpr std::array<std::string_view, 4> knownFields{"data", "id", "event", "retry"};

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

constexpr bool isNameChar(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_';
}

/// True for `name: value` and for the name of a known field alone.
bool isField(std::string_view name, bool hasColon)
{
    if (std::ranges::find(knownFields, name) != knownFields.end())
        return true;
    return hasColon && !name.empty() && std::ranges::all_of(name, isNameChar);
}

std::optional<std::uint64_t> parseDecimalId(std::string_view value)
{
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool isWhole = parsed.ptr == value.data() + value.size();
    return parsed.ec == std::errc() && isWhole ? std::optional(id) : std::nullopt;
}

} // namespace

std::vector<std::string> SseDecoder::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty() && m_fault.empty()) {
        const auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_data.size() > maxEventBytes) {
            m_fault = "event too large";
            break;
        }
        if (end == std::string_view::npos)
            break;
        bytes.remove_prefix(end + 1);
        if (m_line.ends_with('\r'))
            m_line.pop_back();
        processLine(m_line, &events);
        m_line.clear();
    }
    return events;
}

void SseDecoder::processLine(std::string_view line, std::vector<std::string> *events)
{
    if (std::exchange(m_isFirstLine, false) && line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    if (line.empty()) {
        endBlock(events);
        return;
    }
    const auto colon = line.find(':');
    if (colon == 0)
        return; // a comment
    const std::string_view name = line.substr(0, colon);
    const bool hasColon = colon != std::string_view::npos;
    if (!isField(name, hasColon)) {
        m_fault = "line that is no field of an event";
        return;
    }
    std::string_view value = hasColon ? line.substr(colon + 1) : std::string_view();
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data") {
        if (m_hasData)
            m_data += '\n';
        m_data += value;
        m_hasData = true;
    } else if (name == "id") {
        m_id = parseDecimalId(value);
    } else if (std::ranges::find(knownFields, name) == knownFields.end()) {
        m_hasUnknownField = true;
    }
}

void SseDecoder::endBlock(std::vector<std::string> *events)
{
    const std::optional<std::uint64_t> id = std::exchange(m_id, std::nullopt);
    if (m_hasData) {
        if (id && m_lastId && *id <= *m_lastId) {
            m_fault = "event id that does not increase";
            return;
        }
        if (id)
            m_lastId = id;
        events->push_back(std::move(m_data));
    } else if (m_hasUnknownField) {
        m_fault = "block without data";
        return;
    }
    m_data.clear();
    m_hasData = false;
    m_hasUnknownField = false;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/sse.h"

#include <algorithm>
#include <array>
#include <utility>

#include <reachlead/streams/eventfield.h>

namespace reachlead {

namespace {

/// The fields of the standard. Others are ignored in an event, but don't make one.
constexpr std::array<std::string_view, 4> knownFields{"data", "id", "event", "retry"};

bool isKnown(std::string_view name)
{
    return std::ranges::find(knownFields, name) != knownFields.end();
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
    const bool isComment = line.starts_with(':');
    if (isComment)
        return;
    m_hasTrailingFields = true;
    const EventField field = parseEventField(line);
    const bool isNamed = field.hasColon && isEventFieldName(field.name);
    if (!isNamed && !isKnown(field.name)) {
        m_fault = "line that is no field of an event";
        return;
    }
    if (field.name == "data") {
        if (m_hasData)
            m_data += '\n';
        m_data += field.value;
        m_hasData = true;
    } else if (field.name == "id") {
        m_id = parseEventId(field.value);
    }
    m_hasUnknownField = m_hasUnknownField || !isKnown(field.name);
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
        m_hasTrailingFields = false;
    } else if (m_hasUnknownField) {
        m_fault = "block without data";
        return;
    }
    m_data.clear();
    m_hasData = false;
    m_hasUnknownField = false;
}

} // namespace reachlead

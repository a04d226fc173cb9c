// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/sse.h"

namespace reachlead {

std::optional<std::vector<std::string>> SseDecoder::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_data.size() > maxEventBytes)
            return std::nullopt;
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
    constexpr std::string_view field = "data:";
    if (line.empty()) {
        if (m_hasData)
            events->push_back(std::move(m_data));
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (!line.starts_with(field))
        return; // comments and other fields are ignored
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (m_hasData)
        m_data += '\n';
    m_data += line;
    m_hasData = true;
}

} // namespace reachlead

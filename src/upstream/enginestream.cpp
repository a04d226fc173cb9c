// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/enginestream.h"

#include <utility>

namespace reachlead {

std::vector<std::string> EngineStream::feed(std::string_view bytes)
{
    std::vector<std::string> tokens;
    if (!m_fault.empty())
        return tokens;
    for (const std::string &data : m_decoder.feed(bytes)) {
        EngineEvent event = parseEngineEvent(data);
        m_fault = findFault(event);
        if (!m_fault.empty())
            return tokens;
        m_isDone = event.kind == EngineEvent::Kind::Done;
        m_hasEvent = true;
        m_isFinal = m_isFinal || event.isFinal;
        if (m_run.empty())
            m_run = std::move(event.run);
        if (event.kind == EngineEvent::Kind::Text)
            tokens.push_back(std::move(event.text));
    }
    m_fault = m_decoder.fault();
    return tokens;
}

std::string_view EngineStream::findFault(const EngineEvent &event) const
{
    using Kind = EngineEvent::Kind;
    if (event.kind == Kind::Malformed)
        return "malformed event";
    if (m_isDone)
        return "event after the last one";
    if (!event.run.empty() && !m_run.empty() && event.run != m_run)
        return "event of another run";
    if (m_isFinal && event.kind == Kind::Text)
        return "text after its end";
    // A run that is resumed behind its last token has nothing more to send.
    if (event.kind == Kind::Done && !m_hasEvent && !m_isResumed)
        return "end without an event before";
    return {};
}

void EngineStream::endBody()
{
    if (m_isDone && m_fault.empty() && m_decoder.hasTrailingFields())
        m_fault = "bytes after the last event";
}

} // namespace reachlead

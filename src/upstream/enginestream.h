// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The streamed answer of an engine, checked against the request and against itself.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "upstream/enginejson.h"
#include "upstream/sse.h"

namespace reachlead {

/// Parses one answer as it arrives. Not thread-safe.
class EngineStream
{
public:
    /// \p resumeFrom: the tokens that the caller has already received.
    explicit EngineStream(std::uint64_t resumeFrom) : m_isResumed(resumeFrom > 0) { }

    /// Parses more bytes and returns the tokens that they complete. Stops at the first event that
    /// cannot belong to the answer; fault() is set then, and later bytes are ignored.
    std::vector<std::string> feed(std::string_view bytes);

    /// Called at the end of the body, which may show that the last event was not the end.
    void endBody();

    /// True once the last event was received.
    bool isDone() const { return m_isDone; }

    /// Why the tokens so far are not the whole answer; empty if nothing is wrong.
    std::string_view fault() const { return m_fault; }

private:
    std::string_view findFault(const EngineEvent &event) const;

    SseDecoder m_decoder;
    std::string m_run; ///< as named by the events
    std::string_view m_fault;
    bool m_isResumed = false;
    bool m_hasEvent = false; ///< one other than the last
    bool m_isFinal = false; ///< the text has ended
    bool m_isDone = false;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON bodies of the OpenAI HTTP API for chat and text completions.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/error.h>
#include <reachlead/ids.h>

namespace reachlead {

enum class CompletionKind : std::uint8_t { Chat, Text };

/// The fields of a completion request that the router needs.
struct CompletionRequest
{
    std::string model;
    bool stream = false;
    std::uint64_t prefixHash = 0; ///< hash of the first bytes of the prompt
};

/// Parses a request body. Empty, with \p reason set, when a field is missing or has a wrong type.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body, CompletionKind kind,
                                                        std::string *reason);

/// Formats one answer as JSON, at once or as server-sent events.
class AnswerWriter
{
public:
    AnswerWriter(CompletionKind kind, const RequestId &id, std::string_view model);

    /// A server-sent event with some text.
    std::string chunk(std::string_view text) const;
    /// The last events of a complete answer.
    std::string finish(std::uint64_t tokens) const;
    /// A full answer that is not streamed.
    std::string fullAnswer(std::string_view text, std::uint64_t tokens) const;

private:
    std::string commonFields(std::string_view object) const;

    CompletionKind m_kind;
    std::string m_id;
    std::string m_model; ///< quoted as JSON
    std::int64_t m_created;
};

/// The JSON of a refusal or a truncated answer.
std::string errorJson(ErrorKind kind, Outcome outcome, const RequestId &id,
                      std::string_view reason);

/// Quotes and escapes a JSON string.
std::string quoteJson(std::string_view text);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The shapes of the OpenAI HTTP API that client libraries use: chat and plain completions.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/error.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The two kinds of completion.
enum class CompletionKind : std::uint8_t { Chat, Text };

/// What the router needs of a completion request.
struct CompletionRequest
{
    std::string model;
    bool stream = false;
    std::uint64_t prefixHash = 0; ///< of the first bytes of the prompt
};

/// Reads a request body; empty with \p reason set when it has another shape.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body, CompletionKind kind,
                                                        std::string *reason);

/// Writes the JSON of one answer; holds what its pieces have in common.
class AnswerWriter
{
public:
    AnswerWriter(CompletionKind kind, const RequestId &id, std::string_view model);

    /// One server-sent event with a piece of the text.
    std::string chunk(std::string_view text) const;
    /// The last events of a whole answer.
    std::string finish(std::uint64_t tokens) const;
    /// A whole answer in one JSON text.
    std::string fullAnswer(std::string_view text, std::uint64_t tokens) const;

private:
    std::string head(std::string_view object) const;

    CompletionKind m_kind;
    std::string m_id;
    std::string m_model; ///< quoted as JSON
    std::int64_t m_created;
};

/// The JSON of a refusal or a cut answer.
std::string errorJson(ErrorKind kind, Outcome outcome, const RequestId &id,
                      std::string_view reason);

/// A JSON string with its quotes.
std::string quoteJson(std::string_view text);

} // namespace reachlead

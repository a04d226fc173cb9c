// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/openai.h"

#include <algorithm>
#include <chrono>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace reachlead {

namespace json = boost::json;

namespace {

/// Length of the hashed prefix: prompts with the same first bytes count as sharing a prefix.
constexpr std::size_t prefixBytes = 1024;

constexpr std::size_t maxJsonDepth = 64;

std::string promptJson(const json::object &root, CompletionKind kind)
{
    const json::value *part =
        root.if_contains(kind == CompletionKind::Chat ? "messages" : "prompt");
    return part ? json::serialize(*part) : std::string();
}

bool hasPrompt(const json::object &root, CompletionKind kind)
{
    if (kind == CompletionKind::Text)
        return root.contains("prompt");
    const json::value *messages = root.if_contains("messages");
    return messages && messages->is_array() && !messages->as_array().empty();
}

/// False if the engine would answer with several choices: for `n`, or for several prompts.
bool asksForOneChoice(const json::object &root, CompletionKind kind)
{
    const json::value *n = root.if_contains("n");
    if (n && !n->is_null() && !(n->is_int64() && n->get_int64() == 1))
        return false;
    const json::value *prompt = root.if_contains("prompt");
    if (kind == CompletionKind::Chat || !prompt || !prompt->is_array())
        return true;
    const json::array &parts = prompt->get_array(); // one prompt may be a list of tokens
    return parts.size() < 2 || std::ranges::all_of(parts, &json::value::is_number);
}

} // namespace

std::string quoteJson(std::string_view text)
{
    constexpr unsigned firstPrintable = 0x20;
    std::string out = "\"";
    out.reserve(text.size() + 2);
    for (const char c : text) {
        switch (c) {
        case '"':
            out += "\\\"";
            break;
        case '\\':
            out += "\\\\";
            break;
        case '\n':
            out += "\\n";
            break;
        default:
            if (static_cast<unsigned char>(c) < firstPrintable)
                out += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
            else
                out += c;
        }
    }
    out += '"';
    return out;
}

std::optional<CompletionRequest> parseCompletionRequest(std::string_view body, CompletionKind kind,
                                                        std::string *reason)
{
    json::error_code ec;
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    const json::value parsed = json::parse({body.data(), body.size()}, ec, {}, options);
    if (ec || !parsed.is_object()) {
        *reason = "the body is not a JSON object";
        return std::nullopt;
    }
    const json::object &root = parsed.get_object();
    const json::value *model = root.if_contains("model");
    if (!model || !model->is_string()) {
        *reason = "'model' is missing or not a string";
        return std::nullopt;
    }
    if (!hasPrompt(root, kind)) {
        *reason =
            kind == CompletionKind::Chat ? "'messages' is missing or empty" : "'prompt' is missing";
        return std::nullopt;
    }
    if (!asksForOneChoice(root, kind)) {
        *reason = "only one choice is supported";
        return std::nullopt;
    }
    CompletionRequest request;
    request.model = std::string(model->get_string());
    const json::value *stream = root.if_contains("stream");
    if (stream && !stream->is_bool() && !stream->is_null()) {
        *reason = "'stream' is not a boolean";
        return std::nullopt;
    }
    request.stream = stream && stream->is_bool() && stream->get_bool();
    const std::string prompt = promptJson(root, kind);
    request.prefixHash = XXH64(prompt.data(), std::min(prompt.size(), prefixBytes), 0);
    return request;
}

AnswerWriter::AnswerWriter(CompletionKind kind, const RequestId &id, std::string_view model)
    : m_kind(kind), m_id(toString(id)), m_model(quoteJson(model)),
      m_created(std::chrono::duration_cast<std::chrono::seconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
{ }

std::string AnswerWriter::commonFields(std::string_view object) const
{
    return fmt::format(R"({{"id":"{}","object":"{}","created":{},"model":{})", m_id, object,
                       m_created, m_model);
}

std::string AnswerWriter::chunk(std::string_view text) const
{
    const std::string quoted = quoteJson(text);
    if (m_kind == CompletionKind::Chat)
        return fmt::format("data: {},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{}}},"
                           "\"finish_reason\":null}}]}}\n\n",
                           commonFields("chat.completion.chunk"), quoted);
    return fmt::format(
        "data: {},\"choices\":[{{\"index\":0,\"text\":{},\"finish_reason\":null}}]}}\n\n",
        commonFields("text_completion"), quoted);
}

std::string AnswerWriter::finish(std::uint64_t tokens) const
{
    const bool chat = m_kind == CompletionKind::Chat;
    return fmt::format("data: {},\"choices\":[{{\"index\":0,{},\"finish_reason\":\"stop\"}}],"
                       "\"usage\":{{\"completion_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
                       commonFields(chat ? "chat.completion.chunk" : "text_completion"),
                       chat ? "\"delta\":{}" : "\"text\":\"\"", tokens);
}

std::string AnswerWriter::fullAnswer(std::string_view text, std::uint64_t tokens) const
{
    const std::string quoted = quoteJson(text);
    const bool chat = m_kind == CompletionKind::Chat;
    const std::string choice = chat
        ? fmt::format(R"("message":{{"role":"assistant","content":{}}})", quoted)
        : fmt::format(R"("text":{})", quoted);
    return fmt::format(R"({},"choices":[{{"index":0,{},"finish_reason":"stop"}}],)"
                       R"("usage":{{"completion_tokens":{}}}}})",
                       commonFields(chat ? "chat.completion" : "text_completion"), choice, tokens);
}

std::string errorJson(ErrorKind kind, Outcome outcome, const RequestId &id, std::string_view reason)
{
    const ErrorRow &row = errorRow(kind);
    std::string json = fmt::format(
        R"({{"error":{{"kind":"{}","code":"{}","type":"reachlead","message":{},"outcome":"{}",)"
        R"("request_id":"{}")",
        row.name, row.name, quoteJson(row.text), toString(outcome), toString(id));
    if (!reason.empty())
        json += fmt::format(R"(,"reason":{})", quoteJson(reason));
    if (row.retryAfter)
        json += fmt::format(R"(,"retry_after":{})", row.retryAfter->count());
    return json + "}}";
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/enginejson.h"

#include <boost/json.hpp>

namespace reachlead {

namespace json = boost::json;

std::optional<std::string> engineRequestBody(const Dispatch &dispatch)
{
    json::error_code ec;
    json::value root = json::parse(dispatch.call.body, ec);
    if (ec || !root.is_object())
        return std::nullopt;
    json::object &body = root.get_object();
    body["stream"] = true;
    body["priority"] = dispatch.tier;
    body["request_id"] = toString(dispatch.id);
    if (dispatch.resumeFrom > 0) {
        body["resume_from"] = dispatch.resumeFrom;
        body["resume_text"] = dispatch.resumeText;
    }
    return json::serialize(root);
}

EngineEvent parseEngineEvent(std::string_view data)
{
    if (data == "[DONE]")
        return {EngineEvent::Kind::Done, ""};
    json::error_code ec;
    const json::value root = json::parse({data.data(), data.size()}, ec);
    const json::object *object = ec ? nullptr : root.if_object();
    const json::value *choices = object ? object->if_contains("choices") : nullptr;
    if (!choices || !choices->is_array())
        return {EngineEvent::Kind::Malformed, ""};
    if (choices->get_array().empty())
        return {};
    const json::object *choice = choices->get_array()[0].if_object();
    if (!choice)
        return {EngineEvent::Kind::Malformed, ""};
    const json::value *text = choice->if_contains("text");
    if (const json::value *delta = choice->if_contains("delta"); delta && delta->is_object())
        text = delta->get_object().if_contains("content");
    if (!text || !text->is_string() || text->get_string().empty())
        return {};
    return {EngineEvent::Kind::Text, std::string(text->get_string())};
}

} // namespace reachlead

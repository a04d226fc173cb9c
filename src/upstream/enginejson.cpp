// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/enginejson.h"

#include <boost/json.hpp>

namespace reachlead {

namespace json = boost::json;

namespace {

/// The member \p name; null if it is absent or null in JSON.
const json::value *member(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    return value && !value->is_null() ? value : nullptr;
}

/// Routers ask for one choice.
bool isFirstChoice(const json::object &choice)
{
    const json::value *index = member(choice, "index");
    return !index || (index->is_int64() && index->get_int64() == 0);
}

} // namespace

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
    EngineEvent malformed{EngineEvent::Kind::Malformed, "", "", false};
    if (data == "[DONE]")
        return {EngineEvent::Kind::Done, "", "", false};
    json::error_code ec;
    const json::value root = json::parse({data.data(), data.size()}, ec);
    const json::object *object = ec ? nullptr : root.if_object();
    const json::value *choices = object ? object->if_contains("choices") : nullptr;
    if (!choices || !choices->is_array() || member(*object, "error"))
        return malformed;
    EngineEvent event;
    if (const json::value *id = member(*object, "id"); id && id->is_string())
        event.run = id->get_string();
    if (choices->get_array().empty())
        return event;
    const json::object *choice = choices->get_array()[0].if_object();
    if (!choice || choices->get_array().size() > 1 || !isFirstChoice(*choice))
        return malformed;
    const json::value *end = member(*choice, "finish_reason");
    event.isFinal = end && end->is_string() && !end->get_string().empty();
    const json::value *text = member(*choice, "text");
    if (const json::value *delta = member(*choice, "delta")) {
        if (!delta->is_object())
            return malformed;
        text = member(delta->get_object(), "content");
    }
    if (!text)
        return event;
    if (!text->is_string())
        return malformed;
    event.text = text->get_string();
    if (!event.text.empty())
        event.kind = EngineEvent::Kind::Text;
    return event;
}

} // namespace reachlead

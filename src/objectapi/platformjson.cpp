// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "objectapi/platformjson.h"

#include <boost/json.hpp>

#include <reachlead/jsonslices.h>
#include <reachlead/log.h>

namespace reachlead {

namespace json = boost::json;

namespace {

/// Reads a part of a reply by \p decode, which throws if it is not as expected.
template <class Decode>
auto tryDecode(std::string_view text, Decode decode)
    -> std::optional<decltype(decode(json::value()))>
{
    try {
        return decode(json::parse({text.data(), text.size()}));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

template <class T>
std::optional<T> readMember(const std::vector<JsonMember> &members, std::string_view key)
{
    const auto text = findMember(members, key);
    if (!text)
        return std::nullopt;
    return tryDecode(*text, [](const json::value &it) { return json::value_to<T>(it); });
}

/// Stands for a value that cannot be read. It is no valid one of any kind of object.
constexpr const char *unreadableValue = "(unreadable)";

/// Reads an object. One whose value cannot be read still has a version, from which a watch goes on.
std::optional<PlatformObject> readObject(std::string_view text)
{
    const auto members = jsonMembers(text);
    if (!members)
        return std::nullopt;
    auto key = readMember<std::string>(*members, "key");
    const auto version = readMember<std::uint64_t>(*members, "version");
    if (!key || !version)
        return std::nullopt;
    PlatformObject object;
    object.key = std::move(*key);
    object.version = ObjectVersion{*version};
    object.value = readMember<std::string>(*members, "value").value_or(unreadableValue);
    object.deleted = readMember<bool>(*members, "deleted").value_or(false);
    return object;
}

std::optional<Member> readMemberOfList(std::string_view text)
{
    return tryDecode(text, [](const json::value &it) {
        Member member;
        member.vm = VmName(json::value_to<std::string>(it.at("vm")));
        member.role =
            it.at("role").as_string() == "router" ? MemberRole::Router : MemberRole::Agent;
        member.zone = ZoneName(json::value_to<std::string>(it.at("zone")));
        member.address = json::value_to<std::string>(it.at("address"));
        member.port = it.at("port").to_number<std::uint16_t>();
        member.leaving = it.at("leaving").as_bool();
        if (const json::value *target = it.as_object().if_contains("target"))
            member.target = TargetName(json::value_to<std::string>(*target));
        return member;
    });
}

} // namespace

std::string objectsToJson(ObjectVersion version, const std::vector<PlatformObject> &objects)
{
    json::array list;
    for (const PlatformObject &object : objects) {
        list.push_back({{"key", object.key},
                        {"version", static_cast<std::uint64_t>(object.version)},
                        {"value", object.value},
                        {"deleted", object.deleted}});
    }
    return json::serialize(
        json::object{{"version", static_cast<std::uint64_t>(version)}, {"objects", list}});
}

bool objectsFromJson(const std::string &text, PlatformReply *reply)
{
    const auto root = jsonMembers(text);
    const auto version = root ? readMember<std::uint64_t>(*root, "version") : std::nullopt;
    const auto objects = root ? findMember(*root, "objects") : std::nullopt;
    const auto elements = objects ? jsonElements(*objects) : std::nullopt;
    if (!version || !elements) {
        reply->reason = "the reply has no version or no objects";
        return false;
    }
    reply->version = ObjectVersion{*version};
    for (const std::string_view element : *elements) {
        if (auto object = readObject(element))
            reply->objects.push_back(std::move(*object));
        else
            LogLine(LogLevel::Error, "object-unreadable").with("bytes", element.size());
    }
    return true;
}

std::string membersToJson(const std::vector<Member> &members)
{
    json::array list;
    for (const Member &member : members) {
        list.push_back({{"vm", member.vm.text},
                        {"role", member.role == MemberRole::Router ? "router" : "agent"},
                        {"zone", member.zone.text},
                        {"address", member.address},
                        {"port", member.port},
                        {"leaving", member.leaving},
                        {"target", member.target.text}});
    }
    return json::serialize(list);
}

std::optional<std::vector<Member>> membersFromJson(const std::string &text)
{
    const auto elements = jsonElements(text);
    if (!elements)
        return std::nullopt;
    std::vector<Member> members;
    for (const std::string_view element : *elements) {
        if (auto member = readMemberOfList(element))
            members.push_back(std::move(*member));
        else
            LogLine(LogLevel::Error, "member-unreadable").with("bytes", element.size());
    }
    return members;
}

} // namespace reachlead

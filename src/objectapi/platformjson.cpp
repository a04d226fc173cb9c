// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "objectapi/platformjson.h"

#include <boost/json.hpp>

namespace reachlead {

namespace json = boost::json;

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
    try {
        const json::value root = json::parse(text);
        reply->version = ObjectVersion{root.at("version").to_number<std::uint64_t>()};
        for (const json::value &it : root.at("objects").as_array()) {
            PlatformObject object;
            object.key = json::value_to<std::string>(it.at("key"));
            object.version = ObjectVersion{it.at("version").to_number<std::uint64_t>()};
            object.value = json::value_to<std::string>(it.at("value"));
            object.deleted = it.at("deleted").as_bool();
            reply->objects.push_back(std::move(object));
        }
        return true;
    } catch (const std::exception &e) {
        reply->reason = e.what();
        return false;
    }
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
    try {
        std::vector<Member> members;
        const json::value root = json::parse(text);
        for (const json::value &it : root.as_array()) {
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
            members.push_back(std::move(member));
        }
        return members;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace reachlead

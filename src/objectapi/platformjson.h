// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The JSON of the platform's service, used by the client here and by the stand-in.

#pragma once

#include <optional>
#include <string>

#include <reachlead/platform.h>

namespace reachlead {

/// Writes `{"version": V, "objects": [...]}`.
std::string objectsToJson(ObjectVersion version, const std::vector<PlatformObject> &objects);

/// Reads what objectsToJson() wrote into \p reply; false when the text has another shape.
bool objectsFromJson(const std::string &text, PlatformReply *reply);

/// Writes a membership list.
std::string membersToJson(const std::vector<Member> &members);

/// Reads what membersToJson() wrote.
std::optional<std::vector<Member>> membersFromJson(const std::string &text);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON bodies of the platform's service, used by its client and its stand-in.

#pragma once

#include <optional>
#include <string>

#include <reachlead/platform.h>

namespace reachlead {

/// Formats `{"version": V, "objects": [...]}`.
std::string objectsToJson(ObjectVersion version, const std::vector<PlatformObject> &objects);

/// Parses the format of objectsToJson() into \p reply. Returns false, with the reason in the reply,
/// when the text is malformed. Any program may write objects, so each is read by itself: one
/// without a readable key and version is left out.
bool objectsFromJson(const std::string &text, PlatformReply *reply);

/// Formats a membership list.
std::string membersToJson(const std::vector<Member> &members);

/// Parses the format of membersToJson(). Empty when the text is malformed. A member that cannot be
/// read is left out.
std::optional<std::vector<Member>> membersFromJson(const std::string &text);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Splits a JSON text into its members or elements without reading their values.

#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace reachlead {

/// A member of an object: its key as written, without quotes, and the text of its value.
using JsonMember = std::pair<std::string_view, std::string_view>;

/// The members of an object, or the elements of an array; nothing if \p text is none, or its
/// structure is invalid. Only strings and brackets are looked at, so a value that no parser accepts
/// (half of a surrogate pair, a number out of range, any depth of nesting) does not affect the
/// others. The results point into \p text.
std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text);
std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

/// The value of a member; nothing if it is absent.
std::optional<std::string_view> findMember(const std::vector<JsonMember> &members,
                                           std::string_view key);

} // namespace reachlead

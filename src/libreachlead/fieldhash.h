// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A truncated cryptographic hash of a list of fields.

#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace reachlead::pvt {

/// Returns the first 128 bits of the SHA-256 hash of \p fields. Each field is hashed after its
/// length, so that different lists of fields never give the same input.
std::array<std::uint64_t, 2> hashFields(std::initializer_list<std::string_view> fields);

} // namespace reachlead::pvt

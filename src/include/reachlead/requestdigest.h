// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Names a request by its content, so that it is known again when it comes once more.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/ids.h>

namespace reachlead {

/// The content of a request. Equal for equal requests of one account, whatever the attempt, the
/// connection and the gateway.
struct RequestDigest
{
    /// A fast hash of path and body: tells most other requests apart before the proof is made,
    /// which takes some twenty times as long.
    std::uint64_t fastHash = 0;
    /// A part of a cryptographic hash of all: accounts do not trust each other, and none can make a
    /// request that counts as another one's.
    std::uint64_t secureHash = 0;

    auto operator<=>(const RequestDigest &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(fastHash, secureHash); }
};

/// What a digest covers. The method is left out: an upstream is handed the same work by it.
struct RequestContent
{
    AccountName account; ///< empty where the route needs none
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

RequestDigest computeDigest(const RequestContent &content);

/// RequestDigest::mark alone.
std::uint64_t computeFastHash(const RequestContent &content);

/// 32 hex digits, as logs and the platform's store have it.
std::string toString(const RequestDigest &digest);

/// Reads what toString() wrote; nothing for a text of another shape.
std::optional<RequestDigest> parseRequestDigest(std::string_view text);

} // namespace reachlead

template <> struct std::hash<reachlead::RequestDigest>
{
    std::size_t operator()(const reachlead::RequestDigest &digest) const noexcept
    {
        return digest.fastHash;
    }
};

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Identifies a request by its content, so that a repeated request is recognized.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/ids.h>

namespace reachlead {

/// A digest of a request's content. Equal for equal requests of one account, whatever the attempt,
/// the connection and the gateway.
struct ContentDigest
{
    /// A fast hash of path and body. Rules out most other requests before the secure hash is
    /// computed, which takes some twenty times as long.
    std::uint64_t fastHash = 0;
    /// A truncated cryptographic hash of all fields: accounts do not trust each other, and none may
    /// forge a request that is counted as another account's.
    std::uint64_t secureHash = 0;

    auto operator<=>(const ContentDigest &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(fastHash, secureHash); }
};

/// The fields that a digest covers. The method is left out, as it does not change the work that an
/// upstream is given.
struct RequestContent
{
    AccountName account; ///< empty where the route needs none
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

ContentDigest computeDigest(const RequestContent &content);

/// Computes ContentDigest::fastHash only.
std::uint64_t computeFastHash(const RequestContent &content);

/// 32 hex digits, as used in logs and in the platform's store.
std::string toString(const ContentDigest &digest);

/// Parses the format of toString(); returns nothing for any other text.
std::optional<ContentDigest> parseContentDigest(std::string_view text);

} // namespace reachlead

template <> struct std::hash<reachlead::ContentDigest>
{
    std::size_t operator()(const reachlead::ContentDigest &digest) const noexcept
    {
        return digest.fastHash;
    }
};

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Identifies a request, or a part of a prompt, by its content, so that it is recognized again.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/ids.h>

namespace reachlead {

/// A digest of a request's content or of a shared part of its prompt. Equal for equal requests and
/// parts of one account, whatever the attempt, the connection and the gateway.
struct ContentDigest
{
    /// A fast hash of path and body, or of the part's id. Rules out most other requests before the
    /// secure hash is computed, which takes some twenty times as long.
    std::uint64_t fastHash = 0;
    /// A truncated cryptographic hash of all fields: accounts do not trust each other, and none may
    /// forge contents that are counted as another account's.
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

/// The digests of the shared parts of a prompt.
struct PromptContents
{
    /// Identifies the account and the model. The evidence about all of their parts is collected by
    /// the same gateways, as parts are only told apart by comparing them.
    ContentDigest owner;
    std::vector<ContentDigest> parts;
};

/// The fields that identify a part of a prompt. Part ids are given by callers, so an account's
/// parts are its own. The route and the service are left out, as a configuration may move them.
struct PartContent
{
    AccountName account; ///< empty where the route needs none
    std::string_view model; ///< the same text may be harmless to another model
    std::uint64_t partId = 0;
};

ContentDigest computeDigest(const RequestContent &content);
ContentDigest computeDigest(const PartContent &content);
ContentDigest computeOwnerDigest(const AccountName &account, std::string_view model);

/// Computes ContentDigest::fastHash only.
std::uint64_t computeFastHash(const RequestContent &content);
std::uint64_t computeFastHash(const PartContent &content);

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

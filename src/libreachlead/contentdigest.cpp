// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/contentdigest.h>

#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

#include "fieldhash.h"

namespace reachlead {

namespace {

constexpr std::size_t hexDigitsPerWord = 16;

std::optional<std::uint64_t> parseHexWord(std::string_view text)
{
    constexpr int base = 16;
    std::uint64_t word = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), word, base);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return word;
}

} // namespace

ContentDigest computeDigest(const RequestContent &content)
{
    ContentDigest digest;
    digest.fastHash = computeFastHash(content);
    digest.secureHash =
        pvt::hashFields({content.account.text, content.host, content.target, content.body})[0];
    return digest;
}

std::uint64_t computeFastHash(const RequestContent &content)
{
    const std::uint64_t seed = XXH64(content.target.data(), content.target.size(), 0);
    return XXH64(content.body.data(), content.body.size(), seed);
}

ContentDigest computeDigest(const PartContent &content)
{
    const std::string_view id(reinterpret_cast<const char *>(&content.partId),
                              sizeof content.partId);
    ContentDigest digest;
    digest.fastHash = computeFastHash(content);
    digest.secureHash = pvt::hashFields({content.account.text, content.model, id})[0];
    return digest;
}

ContentDigest computeOwnerDigest(const AccountName &account, std::string_view model)
{
    const auto words = pvt::hashFields({account.text, model});
    return {words[0], words[1]};
}

std::uint64_t computeFastHash(const PartContent &content)
{
    const std::uint64_t seed = XXH64(content.model.data(), content.model.size(), 0);
    return XXH64(&content.partId, sizeof content.partId, seed);
}

std::string toString(const ContentDigest &digest)
{
    return fmt::format("{:016x}{:016x}", digest.fastHash, digest.secureHash);
}

std::optional<ContentDigest> parseContentDigest(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerWord)
        return std::nullopt;
    const auto first = parseHexWord(text.substr(0, hexDigitsPerWord));
    const auto second = parseHexWord(text.substr(hexDigitsPerWord));
    if (!first || !second)
        return std::nullopt;
    return ContentDigest{*first, *second};
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/requestdigest.h>

#include <array>
#include <charconv>
#include <cstring>
#include <memory>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <xxhash.h>

namespace reachlead {

namespace {

constexpr std::size_t hexDigitsPerWord = 16;

using Hash = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// Hashes a field after its length, so that different lists of fields never give the same input.
void hashField(const Hash &hash, std::string_view text)
{
    const std::uint64_t size = text.size();
    EVP_DigestUpdate(hash.get(), &size, sizeof size);
    EVP_DigestUpdate(hash.get(), text.data(), text.size());
}

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

RequestDigest computeDigest(const RequestContent &content)
{
    const Hash hash(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(hash.get(), EVP_sha256(), nullptr);
    hashField(hash, content.account.text);
    hashField(hash, content.host);
    hashField(hash, content.target);
    hashField(hash, content.body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(hash.get(), bytes.data(), nullptr);
    RequestDigest digest;
    digest.fastHash = computeFastHash(content);
    std::memcpy(&digest.secureHash, bytes.data(), sizeof digest.secureHash);
    return digest;
}

std::uint64_t computeFastHash(const RequestContent &content)
{
    const std::uint64_t seed = XXH64(content.target.data(), content.target.size(), 0);
    return XXH64(content.body.data(), content.body.size(), seed);
}

std::string toString(const RequestDigest &digest)
{
    return fmt::format("{:016x}{:016x}", digest.fastHash, digest.secureHash);
}

std::optional<RequestDigest> parseRequestDigest(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerWord)
        return std::nullopt;
    const auto first = parseHexWord(text.substr(0, hexDigitsPerWord));
    const auto second = parseHexWord(text.substr(hexDigitsPerWord));
    if (!first || !second)
        return std::nullopt;
    return RequestDigest{*first, *second};
}

} // namespace reachlead

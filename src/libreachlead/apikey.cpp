// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/apikey.h>

#include <array>
#include <stdexcept>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace reachlead {

namespace {

constexpr std::size_t sha256Bytes = 32;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    std::string out;
    for (std::size_t n = 0; n < size; ++n)
        out += fmt::format("{:02x}", bytes[n]);
    return out;
}

} // namespace

std::string hashSecret(std::string_view salt, std::string_view secret)
{
    std::string joined(salt);
    joined += '\n';
    joined += secret;
    std::array<unsigned char, sha256Bytes> digest{};
    unsigned size = 0;
    if (EVP_Digest(joined.data(), joined.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return toHex(digest.data(), digest.size());
}

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(raw.data());
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1)
        throw std::runtime_error("the random number generator failed");
    return toHex(data, bytes);
}

const AccountPolicy *findAccountByKey(const Policies &policies, std::string_view key)
{
    // Compared when the account has no key, so that the check takes the same time.
    static const std::string dummyHash(sha256Bytes * 2, '0');
    const auto colon = key.find(':');
    const bool hasColon = colon != std::string_view::npos;
    const AccountName name{std::string(key.substr(0, hasColon ? colon : 0))};
    const std::string_view secret = hasColon ? key.substr(colon + 1) : key;
    const AccountPolicy *account = policies.findAccount(name);
    const bool hasKey = account && account->keyHash.size() == dummyHash.size();
    const std::string &expected = hasKey ? account->keyHash : dummyHash;
    const std::string actual = hashSecret(hasKey ? account->keySalt : "", secret);
    const bool matches = CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0;
    return matches && hasKey ? account : nullptr;
}

} // namespace reachlead

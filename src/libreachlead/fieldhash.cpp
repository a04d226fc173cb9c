// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "fieldhash.h"

#include <cstring>
#include <memory>

#include <openssl/evp.h>

namespace reachlead::pvt {

std::array<std::uint64_t, 2> hashFields(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> hash(EVP_MD_CTX_new(),
                                                                       &EVP_MD_CTX_free);
    EVP_DigestInit_ex(hash.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        const std::uint64_t size = field.size();
        EVP_DigestUpdate(hash.get(), &size, sizeof size);
        EVP_DigestUpdate(hash.get(), field.data(), field.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(hash.get(), bytes.data(), nullptr);
    std::array<std::uint64_t, 2> words{};
    std::memcpy(words.data(), bytes.data(), sizeof words);
    return words;
}

} // namespace reachlead::pvt

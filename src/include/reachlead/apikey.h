// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// API keys of client accounts, in the form `ACCOUNT:SECRET`. Only a salted hash of the secret is
/// stored.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/policy.h>

namespace reachlead {

/// Returns the SHA-256 of the salt, a newline and the secret as hex.
std::string hashSecret(std::string_view salt, std::string_view secret);

/// Returns \p bytes random bytes as hex, for salts and secrets.
std::string randomHex(std::size_t bytes);

/// Returns the account that \p key authenticates, or null. Takes the same time whether the account
/// or the secret is wrong.
const AccountPolicy *findAccountByKey(const Policies &policies, std::string_view key);

} // namespace reachlead

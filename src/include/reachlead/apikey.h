// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// API keys of client accounts: `ACCOUNT:SECRET`, of which only a salted hash is kept.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/policy.h>

namespace reachlead {

/// Hex SHA-256 of salt and secret.
std::string hashSecret(std::string_view salt, std::string_view secret);

/// A random hex text of \p bytes bytes, for salts and secrets.
std::string randomHex(std::size_t bytes);

/// The account whose key this is; null when the key is wrong. Takes the same time whether the
/// account or the secret is wrong.
const AccountPolicy *findAccountByKey(const Policies &policies, std::string_view key);

} // namespace reachlead

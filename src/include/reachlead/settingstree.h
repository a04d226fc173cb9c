// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The settings tree: one INI text per node, stored by the platform and validated as a whole.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/platform.h>
#include <reachlead/policy.h>

namespace reachlead {

/// Key prefix of the nodes at the platform. Below it: `classes/NAME`, `accounts/NAME`, `fleet`.
inline constexpr std::string_view settingsPrefix = "settings/";

/// The size limit of a node's text.
inline constexpr std::size_t maxNodeBytes = 1U << 20U;

/// Texts of the nodes, by path below settingsPrefix.
using SettingsTexts = std::map<std::string, std::string>;

/// Validates a whole tree and builds policies from it. On the first error, returns nothing and sets
/// \p reason to the node, the key, the value and what was expected.
std::optional<Policies> buildPolicies(const SettingsTexts &texts, std::string *reason);

/// A copy of the tree that never goes back to older versions. Not thread-safe.
///
/// Only the version of an object decides whether it is applied. A deleted object leaves a tombstone
/// with the version of its deletion, so that a late read cannot restore it.
class SettingsReplica
{
public:
    /// Applies an object; false when this replica holds it at the same or a later version.
    bool apply(const PlatformObject &object);

    /// Applies a full list read at \p storeVersion: objects missing from it are deleted, unless
    /// this replica holds them at a newer version than the list's.
    void applyList(const std::vector<PlatformObject> &objects, ObjectVersion storeVersion);

    /// The highest version applied.
    ObjectVersion version() const { return m_version; }

    /// A digest over keys and versions; equal on replicas with equal objects.
    std::uint64_t digest() const { return m_digest; }

    /// The policies in force, built from the last valid tree. Null before the first.
    PoliciesPtr policies() const { return m_policies; }

    /// Why the current tree is not in force; empty when it is.
    const std::string &lastReason() const { return m_reason; }

    /// Builds the policies from the applied objects; call after a batch of apply().
    void rebuild();

    /// All nodes that are not deleted.
    SettingsTexts texts() const;

    /// All objects, including tombstones, for a peer that has none.
    std::vector<PlatformObject> objects() const;

private:
    std::map<std::string, PlatformObject> m_objects;
    ObjectVersion m_version{};
    std::uint64_t m_digest = 0;
    PoliciesPtr m_policies;
    std::string m_reason = "no settings have been read yet";
};

} // namespace reachlead

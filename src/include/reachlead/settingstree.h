// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The settings tree: one INI text for each node, kept by the platform, checked as a whole.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <reachlead/platform.h>
#include <reachlead/policy.h>

namespace reachlead {

/// Where the nodes stand at the platform. Below it: `classes/NAME`, `accounts/NAME`, `fleet`.
inline constexpr std::string_view settingsPrefix = "settings/";

/// The largest text of one node, in bytes.
inline constexpr std::size_t maxNodeBytes = 1U << 20U;

/// Texts of nodes by their path below settingsPrefix.
using SettingsTexts = std::map<std::string, std::string>;

/// Checks a whole tree and makes policies of it. Empty with \p reason set on the first fault:
/// the node, the key, the value and what was expected.
std::optional<Policies> buildPolicies(const SettingsTexts &texts, std::string *reason);

/// A copy of the tree that only moves forward. Not thread-safe.
///
/// Each object is applied by its version alone. A deleted object leaves a mark with the version
/// of its deletion, so that a late read cannot bring it back.
class SettingsReplica
{
public:
    /// Applies an object; false when this replica holds it at the same or a later version.
    bool apply(const PlatformObject &object);

    /// Applies a full list read at \p storeVersion: objects missing from it are deleted, unless
    /// they are newer here than the list.
    void applyList(const std::vector<PlatformObject> &objects, ObjectVersion storeVersion);

    /// The highest version applied.
    ObjectVersion version() const { return m_version; }

    /// A digest over paths and versions; the same on all replicas that hold the same.
    std::uint64_t digest() const { return m_digest; }

    /// The policies in force: of the last tree that was whole and valid. Null before the first.
    PoliciesPtr policies() const { return m_policies; }

    /// Why the present tree is not in force; empty when it is.
    const std::string &lastReason() const { return m_reason; }

    /// Makes policies of what was applied; call after a batch of apply().
    void rebuild();

    /// All nodes that are not deleted.
    SettingsTexts texts() const;

    /// All objects, marks of deletion included, for a peer that has none.
    std::vector<PlatformObject> objects() const;

private:
    std::map<std::string, PlatformObject> m_objects;
    ObjectVersion m_version{};
    std::uint64_t m_digest = 0;
    PoliciesPtr m_policies;
    std::string m_reason = "no settings were read yet";
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Shared keys by which the routers and agents of a fleet authenticate each other.

#pragma once

#include <filesystem>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/clock.h>

namespace reachlead {

/// One or more keys. The first one signs and all of them verify, so that keys can be rotated
/// without downtime: append the new key, move it to the front, remove the old one.
class FleetKeys
{
public:
    /// Without keys, nothing is signed and everything is accepted.
    FleetKeys() = default;

    /// Reads one key per line, ignoring empty lines and lines that begin with #. Returns nothing
    /// and sets \p reason when there is no key, or when one is shorter than minKeySize.
    static std::optional<FleetKeys> parse(std::string_view text, std::string *reason);

    bool empty() const { return m_keys.empty(); }

    /// Returns the HMAC-SHA256 (RFC 2104) as hex; empty without keys.
    std::string sign(std::string_view text) const;

    /// True when one of the keys made \p signature, or when there are no keys. Compares in constant
    /// time.
    bool verify(std::string_view text, std::string_view signature) const;

    /// Returns the raw HMAC-SHA256 truncated to tagSize; empty without keys.
    std::string tag(std::string_view text) const;

    /// True when one of the keys made \p tag, or when there are no keys. Compares in constant time.
    bool verifyTag(std::string_view text, std::string_view tag) const;

    static constexpr std::size_t minKeySize = 16; ///< bytes
    /// In bytes. RFC 2104 recommends at least half of the digest.
    static constexpr std::size_t tagSize = 16;

private:
    std::vector<std::string> m_keys;
};

/// Keys from a file that is reloaded when it changes. Thread-safe.
class FleetKeyFile
{
public:
    /// With an empty \p path there are no keys.
    explicit FleetKeyFile(std::string path) : m_path(std::move(path)) { }

    /// Loads the file; returns the error, if any. If a later reload fails, the last keys stay in
    /// force.
    std::optional<std::string> open();

    /// Returns the keys in force; checks the file for changes at most once a second.
    FleetKeys keys();

private:
    std::optional<std::string> read();

    std::string m_path;
    std::mutex m_mutex;
    FleetKeys m_keys; ///< guarded by m_mutex, like all members below
    std::filesystem::file_time_type m_modifiedAt{};
    Time m_checkedAt{};
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The keys by which routers and agents of one fleet know each other.

#pragma once

#include <filesystem>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/clock.h>

namespace reachlead {

/// One key or more: the first signs, each of them is accepted, so that a key can be changed
/// without a stop (add the new one last, move it first, remove the old one).
class FleetKeys
{
public:
    /// No keys: nothing is signed and everything is accepted.
    FleetKeys() = default;

    /// Reads a key from each line; empty lines and those that begin with # are passed over. Empty
    /// with \p reason set when there is none, or one is shorter than minKeySize.
    static std::optional<FleetKeys> parse(std::string_view text, std::string *reason);

    bool empty() const { return m_keys.empty(); }

    /// HMAC-SHA256 (RFC 2104) as hex; empty without keys.
    std::string sign(std::string_view text) const;

    /// True when one of the keys made the proof, or when there are no keys. Constant time.
    bool verify(std::string_view text, std::string_view proof) const;

    /// The same as raw bytes, cut to tagSize; empty without keys.
    std::string tag(std::string_view text) const;

    /// True when one of the keys made the tag, or when there are no keys. Constant time.
    bool verifyTag(std::string_view text, std::string_view tag) const;

    static constexpr std::size_t minKeySize = 16; ///< bytes
    static constexpr std::size_t tagSize = 16; ///< bytes; RFC 2104 asks for half of the digest

private:
    std::vector<std::string> m_keys;
};

/// Keys in a file that is read again when it changed. Thread-safe.
class FleetKeyFile
{
public:
    /// \p path empty: no keys. Else the file must hold keys now; a fault later keeps the last.
    explicit FleetKeyFile(std::string path) : m_path(std::move(path)) { }

    /// Reads the file for the first time; the fault, if any.
    std::optional<std::string> open();

    /// The keys in force; looks at the file at most once a second.
    FleetKeys keys();

private:
    std::optional<std::string> read();

    std::string m_path;
    std::mutex m_mutex;
    FleetKeys m_keys; ///< guarded by m_mutex, as all below
    std::filesystem::file_time_type m_changed{};
    Time m_lookedAt{};
};

} // namespace reachlead

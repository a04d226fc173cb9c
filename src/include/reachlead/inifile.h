// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Strict INI parser. Error messages name the file, the line, the key and what was expected.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <reachlead/clock.h>

namespace reachlead {

/// The value of a key, with its line number.
struct IniEntry
{
    std::string value;
    unsigned line = 0;
};

/// A parsed INI text: section → key → entry. Keys before the first section are in section "".
class IniFile
{
public:
    /// Parses \p text. Returns nothing and sets \p reason on an error. \p source is the name of the
    /// text in error messages.
    static std::optional<IniFile> parse(std::string_view text, const std::string &source,
                                        std::string *reason);

    const std::string &source() const { return m_source; }
    const std::map<std::string, std::map<std::string, IniEntry>> &sections() const
    {
        return m_sections;
    }

private:
    std::string m_source;
    std::map<std::string, std::map<std::string, IniEntry>> m_sections;
};

/// Reads one section into typed fields and rejects unknown keys.
///
/// Each `take…` call names a key, its bounds and the output field, which keeps its value if the key
/// is absent. finish() returns the first error.
class IniReader
{
public:
    IniReader(const IniFile &file, std::string section);

    IniReader &takeText(std::string_view key, std::string *out);
    IniReader &takeFlag(std::string_view key, bool *out);
    IniReader &takeInteger(std::string_view key, std::int64_t low, std::int64_t high,
                           std::int64_t *out);
    IniReader &takeNumber(std::string_view key, double low, double high, double *out);
    /// A duration with a unit: `250ms`, `2s` or `5m`.
    IniReader &takeDuration(std::string_view key, Duration low, Duration high, Duration *out);
    /// One of \p words; stores the index of the word in \p out.
    IniReader &takeEnum(std::string_view key, const std::vector<std::string_view> &words,
                        std::size_t *out);
    /// A comma-separated list of words.
    IniReader &takeList(std::string_view key, std::vector<std::string> *out);
    /// Makes a missing key an error.
    IniReader &require(std::string_view key);

    bool has(std::string_view key) const;

    /// Returns the first error, also for keys that no take… call named; nothing if there is none.
    std::optional<std::string> finish();

private:
    const IniEntry *find(std::string_view key);
    void setError(std::string_view key, unsigned line, std::string_view expected);

    const IniFile &m_file;
    std::string m_section;
    std::map<std::string, IniEntry> m_unread;
    std::map<std::string, IniEntry> m_entries;
    std::optional<std::string> m_error;
};

/// Parses a duration with a unit; returns nothing for any other text.
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration so that parseDuration() can read it.
std::string formatDuration(Duration d);

} // namespace reachlead

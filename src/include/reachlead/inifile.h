// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// INI text read strictly: every fault is named with file, line, key and what was expected.

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

/// One `key = value` with the line it stands on.
struct IniEntry
{
    std::string value;
    unsigned line = 0;
};

/// A parsed INI text: section → key → entry. Keys before any section are in section "".
class IniFile
{
public:
    /// Parses \p text. Returns nothing and sets \p reason on a fault. \p source names the text
    /// in messages.
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

/// Reads one section into typed fields and refuses keys that nobody asked for.
///
/// Each `take…` call names a key, its bounds and where the value goes; a key that is absent
/// leaves the field as it was. finish() reports the first fault.
class IniReader
{
public:
    IniReader(const IniFile &file, std::string section);

    IniReader &takeText(std::string_view key, std::string *out);
    IniReader &takeFlag(std::string_view key, bool *out);
    IniReader &takeInteger(std::string_view key, std::int64_t low, std::int64_t high,
                           std::int64_t *out);
    IniReader &takeNumber(std::string_view key, double low, double high, double *out);
    /// A duration with its unit: `250ms`, `2s` or `5m`.
    IniReader &takeDuration(std::string_view key, Duration low, Duration high, Duration *out);
    /// One of the listed words; the index of the word goes to \p out.
    IniReader &takeEnum(std::string_view key, const std::vector<std::string_view> &words,
                        std::size_t *out);
    /// A list of words with commas between.
    IniReader &takeList(std::string_view key, std::vector<std::string> *out);
    /// Makes the absence of a key a fault.
    IniReader &require(std::string_view key);

    /// True when the section has the key.
    bool has(std::string_view key) const;

    /// Returns the first fault, also for keys that no take… call named; none: all is well.
    std::optional<std::string> finish();

private:
    const IniEntry *find(std::string_view key);
    void fault(std::string_view key, unsigned line, std::string_view expected);

    const IniFile &m_file;
    std::string m_section;
    std::map<std::string, IniEntry> m_left;
    std::map<std::string, IniEntry> m_all;
    std::optional<std::string> m_fault;
};

/// Reads a duration with its unit; empty when the text has another shape.
std::optional<Duration> parseDuration(std::string_view text);

/// Writes a duration as parseDuration() reads it.
std::string formatDuration(Duration d);

} // namespace reachlead

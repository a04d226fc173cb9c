// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/inifile.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ranges>

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace reachlead {

namespace {

std::string trimmed(std::string_view text)
{
    return boost::algorithm::trim_copy(std::string(text));
}

template <class T> std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.begin(), text.end(), value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

struct DurationUnit
{
    std::string_view suffix;
    double factor = 1.0; // seconds
};

// Longer suffixes come first, since "ms" also ends with "s".
constexpr std::array<DurationUnit, 5> durationUnits{
    {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1.0}, {"m", 60.0}, {"h", 3600.0}}};

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto it = std::ranges::find_if(
        durationUnits, [&](const DurationUnit &unit) { return text.ends_with(unit.suffix); });
    if (it == durationUnits.end())
        return std::nullopt;
    text.remove_suffix(it->suffix.size());
    const auto value = parseNumber<double>(text);
    if (!value || !std::isfinite(*value) || *value < 0)
        return std::nullopt;
    return fromSeconds(*value * it->factor);
}

std::string formatDuration(Duration d)
{
    if (d % seconds(1) == Duration::zero())
        return fmt::format("{}s", std::chrono::duration_cast<seconds>(d).count());
    if (d % milliseconds(1) == Duration::zero())
        return fmt::format("{}ms", std::chrono::duration_cast<milliseconds>(d).count());
    return fmt::format("{}us", std::chrono::duration_cast<std::chrono::microseconds>(d).count());
}

std::optional<IniFile> IniFile::parse(std::string_view text, const std::string &source,
                                      std::string *reason)
{
    IniFile file;
    file.m_source = source;
    std::string section;
    unsigned line = 0;
    for (const auto part : text | std::views::split('\n')) {
        ++line;
        const std::string row = trimmed(std::string_view(part.begin(), part.end()));
        if (row.empty() || row.front() == '#' || row.front() == ';')
            continue;
        if (row.front() == '[' && row.back() == ']') {
            section = trimmed(std::string_view(row).substr(1, row.size() - 2));
            file.m_sections[section];
            continue;
        }
        const auto equals = row.find('=');
        const std::string key = trimmed(std::string_view(row).substr(0, equals));
        if (equals == std::string::npos || key.empty()) {
            *reason = fmt::format("{}:{}: expected 'key = value' or '[section]', found '{}'",
                                  source, line, row);
            return std::nullopt;
        }
        const IniEntry entry{trimmed(std::string_view(row).substr(equals + 1)), line};
        if (!file.m_sections[section].emplace(key, entry).second) {
            *reason = fmt::format("{}:{}: key '{}' stands twice in section '{}'", source, line, key,
                                  section);
            return std::nullopt;
        }
    }
    return file;
}

IniReader::IniReader(const IniFile &file, std::string section)
    : m_file(file), m_section(std::move(section))
{
    const auto it = file.sections().find(m_section);
    if (it == file.sections().end())
        return;
    m_unread = it->second;
    m_entries = it->second;
}

const IniEntry *IniReader::find(std::string_view key)
{
    const auto it = m_entries.find(std::string(key));
    if (it == m_entries.end())
        return nullptr;
    m_unread.erase(it->first);
    return &it->second;
}

bool IniReader::has(std::string_view key) const
{
    return m_entries.contains(std::string(key));
}

void IniReader::setError(std::string_view key, unsigned line, std::string_view expected)
{
    if (m_error)
        return;
    m_error = fmt::format("{}:{}: key '{}' in section '{}': expected {}", m_file.source(), line,
                          key, m_section, expected);
}

IniReader &IniReader::takeText(std::string_view key, std::string *out)
{
    if (const IniEntry *entry = find(key))
        *out = entry->value;
    return *this;
}

IniReader &IniReader::takeFlag(std::string_view key, bool *out)
{
    std::size_t index = *out ? 1 : 0;
    takeEnum(key, {"no", "yes"}, &index);
    *out = index == 1;
    return *this;
}

IniReader &IniReader::takeInteger(std::string_view key, std::int64_t low, std::int64_t high,
                                  std::int64_t *out)
{
    const IniEntry *entry = find(key);
    if (!entry)
        return *this;
    const auto value = parseNumber<std::int64_t>(entry->value);
    if (value && *value >= low && *value <= high)
        *out = *value;
    else
        setError(key, entry->line,
                 fmt::format("a whole number from {} to {}, found '{}'", low, high, entry->value));
    return *this;
}

IniReader &IniReader::takeNumber(std::string_view key, double low, double high, double *out)
{
    const IniEntry *entry = find(key);
    if (!entry)
        return *this;
    const auto value = parseNumber<double>(entry->value);
    if (value && *value >= low && *value <= high)
        *out = *value;
    else
        setError(key, entry->line,
                 fmt::format("a number from {} to {}, found '{}'", low, high, entry->value));
    return *this;
}

IniReader &IniReader::takeDuration(std::string_view key, Duration low, Duration high, Duration *out)
{
    const IniEntry *entry = find(key);
    if (!entry)
        return *this;
    const auto value = parseDuration(entry->value);
    if (value && *value >= low && *value <= high)
        *out = *value;
    else
        setError(key, entry->line,
                 fmt::format("a duration with unit from {} to {}, found '{}'", formatDuration(low),
                             formatDuration(high), entry->value));
    return *this;
}

IniReader &IniReader::takeEnum(std::string_view key, const std::vector<std::string_view> &words,
                               std::size_t *out)
{
    const IniEntry *entry = find(key);
    if (!entry)
        return *this;
    const auto it = std::ranges::find(words, entry->value);
    if (it != words.end())
        *out = static_cast<std::size_t>(it - words.begin());
    else
        setError(key, entry->line,
                 fmt::format("one of {}, found '{}'", fmt::join(words, ", "), entry->value));
    return *this;
}

IniReader &IniReader::takeList(std::string_view key, std::vector<std::string> *out)
{
    const IniEntry *entry = find(key);
    if (!entry)
        return *this;
    out->clear();
    for (const auto part : std::string_view(entry->value) | std::views::split(',')) {
        std::string word = trimmed(std::string_view(part.begin(), part.end()));
        if (!word.empty())
            out->push_back(std::move(word));
    }
    return *this;
}

IniReader &IniReader::require(std::string_view key)
{
    if (!has(key))
        setError(key, 0, "a value, found none");
    return *this;
}

std::optional<std::string> IniReader::finish()
{
    if (!m_error && !m_unread.empty()) {
        const auto &[key, entry] = *m_unread.begin();
        setError(key, entry.line, "a known key, found one that nothing reads");
    }
    return m_error;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Structured logging: one line of key=value pairs per event, to standard output.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace reachlead {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Sets the minimum level that is written. Thread-safe.
void setLogLevel(LogLevel level);

/// Writes log lines from a background thread during its lifetime. Without it, each line is written
/// by the logging thread, which is enough for tests and short programs.
class BackgroundLog
{
public:
    BackgroundLog();
    ~BackgroundLog();
    BackgroundLog(const BackgroundLog &) = delete;
    BackgroundLog &operator=(const BackgroundLog &) = delete;
};

/// Sets the program name in each line.
void setLogProgram(std::string_view program);

/// Quotes a value so that it is one token on one line, whatever bytes it contains. Values longer
/// than 256 bytes are truncated and end with `...`.
std::string quoteLogValue(std::string_view value);

/// Builds one line and writes it on destruction:
/// `LogLine(LogLevel::Info, "session-opened").with("vm", name);`
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a key=value pair. Never pass secrets, prompts or answers.
    template <class T> LogLine &with(std::string_view key, const T &value)
    {
        if (m_enabled)
            append(key, fmt::format("{}", value));
        return *this;
    }

private:
    void append(std::string_view key, std::string_view value);

    LogLevel m_level;
    bool m_enabled;
    std::string m_line;
};

} // namespace reachlead

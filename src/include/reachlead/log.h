// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Structured logs: one line of key=value pairs for each event, to standard output.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace reachlead {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Sets the least level that is written. Thread-safe.
void setLogLevel(LogLevel level);

/// Has a thread write the lines from now on, until the object ends. Without one, each line is
/// written by the thread that logs: tests and short programs need no more.
class BackgroundLog
{
public:
    BackgroundLog();
    ~BackgroundLog();
    BackgroundLog(const BackgroundLog &) = delete;
    BackgroundLog &operator=(const BackgroundLog &) = delete;
};

/// Sets the program name that each line carries.
void setLogProgram(std::string_view program);

/// Quotes a value so that it stays one token on one line, whatever bytes it holds. Values of
/// more than 256 bytes are cut and marked.
std::string quoteLogValue(std::string_view value);

/// Builds and writes one line. The line goes out when the object ends:
/// `LogLine(LogLevel::Info, "session-opened").with("vm", name);`
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a pair. Never pass secrets, prompts or answers.
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

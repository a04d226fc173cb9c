// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/log.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

#include <fmt/chrono.h>

#include <reachlead/logwriter.h>

namespace reachlead {

namespace {

constexpr std::size_t maxValueBytes = 256;

std::atomic<LogLevel> minLevel{LogLevel::Info};

/// Set while a BackgroundLog exists.
std::atomic<LogWriter *> backgroundWriter{nullptr};

void writeToStdout(const std::string &text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
    std::fflush(stdout);
}

std::string &programName()
{
    static std::string name = "reachlead";
    return name;
}

std::string_view levelName(LogLevel level)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warn", "error"};
    return names[static_cast<std::size_t>(level)];
}

bool isPlain(unsigned char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

} // namespace

void setLogLevel(LogLevel level)
{
    minLevel.store(level);
}

void setLogProgram(std::string_view program)
{
    programName() = program;
}

std::string quoteLogValue(std::string_view value)
{
    const bool isTruncated = value.size() > maxValueBytes;
    const std::string_view kept = value.substr(0, maxValueBytes);
    if (!isTruncated && !kept.empty() && std::ranges::all_of(kept, isPlain))
        return std::string(kept);
    std::string quoted = "\"";
    for (const char c : kept) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            quoted += {'\\', c};
        else if (byte < ' ' || byte >= 0x7f)
            quoted += fmt::format("\\x{:02x}", byte);
        else
            quoted += c;
    }
    quoted += isTruncated ? "...\"" : "\"";
    return quoted;
}

BackgroundLog::BackgroundLog()
{
    backgroundWriter.store(new LogWriter(writeToStdout));
}

BackgroundLog::~BackgroundLog()
{
    delete backgroundWriter.exchange(nullptr);
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level), m_enabled(level >= minLevel.load())
{
    if (!m_enabled)
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    m_line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} program={} event={}",
                         fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                         levelName(level), programName(), event);
}

LogLine::~LogLine()
{
    if (!m_enabled)
        return;
    m_line += '\n';
    if (LogWriter *background = backgroundWriter.load())
        background->put(m_line, m_level >= LogLevel::Warn);
    else
        writeToStdout(m_line);
}

void LogLine::append(std::string_view key, std::string_view value)
{
    m_line += fmt::format(" {}={}", key, quoteLogValue(value));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/logwriter.h>

#include <algorithm>

#include <fmt/format.h>

namespace reachlead {

bool LogBudget::take(Time now)
{
    if (m_filledAt == Time{})
        m_filledAt = now;
    m_left = std::min(burst, m_left + linesPerSecond * toSeconds(now - m_filledAt));
    m_filledAt = now;
    if (m_left < 1.0)
        return false;
    m_left -= 1.0;
    return true;
}

LogWriter::LogWriter(Write write) : m_write(std::move(write)), m_thread([this] { run(); }) { }

LogWriter::~LogWriter()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void LogWriter::put(const std::string &line, bool urgent)
{
    bool first = false;
    {
        const std::scoped_lock lock(m_mutex);
        const bool inBudget = m_budget.take(RuntimeClock::now()) || urgent;
        if (!inBudget || m_waiting.size() + line.size() > maxBufferedBytes) {
            ++m_dropped;
            return;
        }
        first = m_waiting.empty();
        m_waiting += line;
    }
    if (first)
        m_changed.notify_one();
}

std::uint64_t LogWriter::dropped() const
{
    const std::scoped_lock lock(m_mutex);
    return m_dropped;
}

void LogWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_ending || !m_waiting.empty(); });
        if (!m_ending)
            m_changed.wait_for(lock, flushInterval, [this] { return m_ending; });
        std::string taken;
        taken.swap(m_waiting);
        if (m_dropped > m_told)
            taken +=
                fmt::format("level=warn event=log-lines-dropped count={}\n", m_dropped - m_told);
        m_told = m_dropped;
        const bool ending = m_ending;
        lock.unlock();
        if (!taken.empty())
            m_write(taken);
        lock.lock();
        if (ending && m_waiting.empty())
            return;
    }
}

} // namespace reachlead

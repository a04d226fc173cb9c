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
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void LogWriter::put(const std::string &line, bool isUrgent)
{
    bool isFirst = false;
    {
        const std::scoped_lock lock(m_mutex);
        const bool inBudget = m_budget.take(RuntimeClock::now()) || isUrgent;
        if (!inBudget || m_buffer.size() + line.size() > maxBufferedBytes) {
            ++m_dropped;
            return;
        }
        isFirst = m_buffer.empty();
        m_buffer += line;
    }
    if (isFirst)
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
        m_changed.wait(lock, [this] { return m_isStopping || !m_buffer.empty(); });
        if (!m_isStopping)
            m_changed.wait_for(lock, flushInterval, [this] { return m_isStopping; });
        std::string batch;
        batch.swap(m_buffer);
        if (m_dropped > m_reportedDropped)
            batch += fmt::format("level=warn event=log-lines-dropped count={}\n",
                                 m_dropped - m_reportedDropped);
        m_reportedDropped = m_dropped;
        const bool isStopping = m_isStopping;
        lock.unlock();
        if (!batch.empty())
            m_write(batch);
        lock.lock();
        if (isStopping && m_buffer.empty())
            return;
    }
}

} // namespace reachlead

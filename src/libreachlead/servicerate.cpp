// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/servicerate.h>

#include <algorithm>

namespace reachlead {

RateSample &RateSample::operator+=(const RateSample &other)
{
    tokens += other.tokens;
    readMs += other.readMs;
    calls += other.calls;
    callMs += other.callMs;
    return *this;
}

void ServiceRate::note(const RateSample &sample)
{
    if (sample.readMs > 0) {
        const double part = std::min(1.0, sample.readMs / toMillis(readingMemory));
        const double seen = static_cast<double>(sample.tokens) / sample.readMs;
        m_tokensPerMs += part * (seen - m_tokensPerMs);
    }
    if (sample.calls > 0) {
        const double part = m_callMs > 0 ? std::min(1.0, sample.calls / callMemory) : 1.0;
        const double seen = static_cast<double>(sample.callMs) / sample.calls;
        m_callMs += part * (seen - m_callMs);
    }
}

Duration ServiceRate::waitFor(TokenCount waiting, std::uint32_t running, unsigned slots,
                              TokenCount unread) const
{
    double ms = static_cast<double>(waiting + unread) / std::max(m_tokensPerMs, 0.001);
    if (slots > 0 && running >= slots)
        ms += m_callMs * static_cast<double>(running - slots + 1) / slots;
    return fromSeconds(ms / 1000.0);
}

} // namespace reachlead

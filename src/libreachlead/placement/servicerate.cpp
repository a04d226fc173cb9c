// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/servicerate.h>

#include <algorithm>

namespace reachlead {

RateSample &RateSample::operator+=(const RateSample &other)
{
    prefillTokens += other.prefillTokens;
    prefillMs += other.prefillMs;
    calls += other.calls;
    callMs += other.callMs;
    return *this;
}

void ServiceRate::addSample(const RateSample &sample)
{
    if (sample.prefillMs > 0) {
        const double weight = std::min(1.0, sample.prefillMs / toMillis(prefillWindow));
        const double observed = static_cast<double>(sample.prefillTokens) / sample.prefillMs;
        m_tokensPerMs += weight * (observed - m_tokensPerMs);
    }
    if (sample.calls > 0) {
        const double weight = m_callMs > 0 ? std::min(1.0, sample.calls / callWindow) : 1.0;
        const double observed = static_cast<double>(sample.callMs) / sample.calls;
        m_callMs += weight * (observed - m_callMs);
    }
}

Duration ServiceRate::predictWait(TokenCount queuedTokens, std::uint32_t running, unsigned slots,
                                  TokenCount prefillTokens, std::optional<double> tokensPerMs) const
{
    const double rate = std::max(tokensPerMs.value_or(m_tokensPerMs), 0.001);
    double ms = static_cast<double>(queuedTokens + prefillTokens) / rate;
    if (slots > 0 && running >= slots)
        ms += m_callMs * static_cast<double>(running - slots + 1) / slots;
    return fromSeconds(ms / 1000.0);
}

} // namespace reachlead

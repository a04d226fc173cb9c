// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/retryshare.h>

#include <numeric>

namespace reachlead {

RetryShare::Span &RetryShare::current(const ServiceName &service, Time now)
{
    std::deque<Span> &spans = m_books[service].spans;
    const Duration length = m_bounds.window / spansPerWindow;
    while (!spans.empty() && spans.front().begin + m_bounds.window + length < now)
        spans.pop_front();
    if (spans.empty() || spans.back().begin + length <= now)
        spans.push_back(Span{now});
    return spans.back();
}

void RetryShare::recordFirstSend(const ServiceName &service, Time now)
{
    ++current(service, now).firsts;
}

double RetryShare::remaining(const ServiceName &service, Time now)
{
    current(service, now);
    const std::deque<Span> &spans = m_books[service].spans;
    const auto count = [&](std::uint32_t Span::*field) {
        return std::accumulate(spans.begin(), spans.end(), 0.0,
                               [&](double sum, const Span &span) { return sum + span.*field; });
    };
    const double part = m_bounds.slack / static_cast<double>(m_gateways);
    const double allowed = safetyFactor * (m_bounds.ratio * count(&Span::firsts) + part);
    return allowed - count(&Span::repeats);
}

bool RetryShare::take(const ServiceName &service, Time now)
{
    if (remaining(service, now) < 1.0)
        return false;
    ++current(service, now).repeats;
    return true;
}

} // namespace reachlead

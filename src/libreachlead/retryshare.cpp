// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/retryshare.h>

#include <numeric>

namespace reachlead {

RetryShare::Bucket &RetryShare::currentBucket(const ServiceName &service, Time now)
{
    std::deque<Bucket> &buckets = m_histories[service].buckets;
    const Duration bucketLength = m_bounds.window / bucketsPerWindow;
    while (!buckets.empty() && buckets.front().begin + m_bounds.window + bucketLength < now)
        buckets.pop_front();
    if (buckets.empty() || buckets.back().begin + bucketLength <= now)
        buckets.push_back(Bucket{now});
    return buckets.back();
}

void RetryShare::recordFirstSend(const ServiceName &service, Time now)
{
    ++currentBucket(service, now).firstSends;
}

double RetryShare::remaining(const ServiceName &service, Time now)
{
    currentBucket(service, now);
    const std::deque<Bucket> &buckets = m_histories[service].buckets;
    const auto count = [&](std::uint32_t Bucket::*field) {
        return std::accumulate(
            buckets.begin(), buckets.end(), 0.0,
            [&](double sum, const Bucket &bucket) { return sum + bucket.*field; });
    };
    const double slackShare = m_bounds.slack / static_cast<double>(m_gateways);
    const double allowed = safetyFactor * m_bounds.ratio * count(&Bucket::firstSends)
        + (now < m_youngUntil ? youngFactor : safetyFactor) * slackShare;
    return allowed - count(&Bucket::retries);
}

bool RetryShare::take(const ServiceName &service, Time now)
{
    if (remaining(service, now) < 1.0)
        return false;
    ++currentBucket(service, now).retries;
    return true;
}

} // namespace reachlead

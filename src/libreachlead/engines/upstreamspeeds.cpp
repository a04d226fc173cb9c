// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/engines/upstreamspeeds.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace reachlead {

namespace {

/// The median of hundreds of upstreams changes slowly, and each selection uses it.
constexpr Duration medianLifetime = milliseconds(200);

/// Evidence below this is dropped, so that a zero is reached.
constexpr double minEvidenceMs = 0.5;

/// The sample of a call, with the weight that one call may have.
WorkSample bounded(const WorkSample &sample, Duration window)
{
    const double weight = UpstreamSpeeds::maxSampleShare * toMillis(window) / sample.ms;
    if (weight >= 1.0)
        return sample;
    return {static_cast<std::uint32_t>(weight * sample.work),
            static_cast<std::uint32_t>(weight * sample.ms)};
}

} // namespace

void UpstreamSpeeds::Evidence::decay(Duration halfLife, Time now)
{
    if (now <= at)
        return;
    const double factor = std::exp2(-toSeconds(now - at) / toSeconds(halfLife));
    at = now;
    work *= factor;
    ms *= factor;
    if (ms < minEvidenceMs)
        work = ms = 0;
}

/// Adds a sample; what exceeds the window displaces older evidence.
void UpstreamSpeeds::Evidence::add(const WorkSample &sample, const Settings &settings, Time now)
{
    decay(settings.halfLife, now);
    const double window = toMillis(settings.window);
    const double weight = std::min(1.0, window / sample.ms);
    const double sampleMs = weight * sample.ms;
    const double kept = ms > 0 ? std::min(1.0, (window - sampleMs) / ms) : 1.0;
    work = kept * work + weight * sample.work;
    ms = kept * ms + sampleMs;
}

UpstreamSpeeds::Record &UpstreamSpeeds::record(const ServiceName &service, const UpstreamId &id)
{
    Record &found = m_records[id];
    found.service = service;
    return found;
}

void UpstreamSpeeds::observe(const ServiceName &service, const UpstreamId &id,
                             const WorkSample &observed, Time now)
{
    if (!m_settings.isEnabled || observed.ms == 0)
        return;
    const WorkSample sample = bounded(observed, m_settings.window);
    Record &known = record(service, id);
    known.all.add(sample, m_settings, now);
    known.own.add(sample, m_settings, now);
    known.unreported.work += sample.work;
    known.unreported.ms += sample.ms;
}

void UpstreamSpeeds::addReported(const ServiceName &service, const UpstreamId &id,
                                 const WorkSample &sample, Time now)
{
    if (m_settings.isEnabled && sample.ms > 0)
        record(service, id).all.add(sample, m_settings, now);
}

std::optional<double> UpstreamSpeeds::median(const ServiceName &service, Time now)
{
    Median &known = m_medians[service];
    if (now < known.validUntil)
        return known.workPerMs;
    known.validUntil = now + medianLifetime;
    std::vector<double> speeds;
    for (Record &it : m_records | std::views::values) {
        it.all.decay(m_settings.halfLife, now);
        if (it.service == service && it.all.ms >= toMillis(m_settings.priorTime))
            speeds.push_back(it.all.work / it.all.ms);
    }
    if (speeds.size() < minSiblings)
        return known.workPerMs; // the last one stays the best assumption
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::ranges::nth_element(speeds, middle);
    if (*middle > 0)
        known.workPerMs = *middle;
    return known.workPerMs;
}

double UpstreamSpeeds::estimate(const Evidence &evidence, double prior) const
{
    const double priorMs = toMillis(m_settings.priorTime);
    const double found = (evidence.work + prior * priorMs) / (evidence.ms + priorMs);
    return std::clamp(found, minSpeed * prior, maxSpeed * prior);
}

std::optional<double> UpstreamSpeeds::workPerMs(const ServiceName &service, const UpstreamId &id,
                                                Time now)
{
    if (!m_settings.isEnabled)
        return std::nullopt;
    const std::optional<double> prior = median(service, now);
    if (!prior)
        return std::nullopt;
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return prior;
    it->second.all.decay(m_settings.halfLife, now);
    return estimate(it->second.all, *prior);
}

double UpstreamSpeeds::speed(const ServiceName &service, const UpstreamId &id, Time now)
{
    const std::optional<double> found = workPerMs(service, id, now);
    return found ? *found / *median(service, now) : 1.0;
}

void UpstreamSpeeds::removeUnlisted(const UpstreamDirectory &directory)
{
    std::erase_if(m_records, [&](const auto &it) { return directory.find(it.first) == nullptr; });
}

UpstreamSpeeds::SamplesByUpstream
UpstreamSpeeds::takeUnreported(const std::set<UpstreamId> &upstreams, std::size_t maxCount)
{
    std::vector<std::pair<std::uint32_t, const UpstreamId *>> found;
    for (const UpstreamId &id : upstreams) {
        const auto it = m_records.find(id);
        if (it != m_records.end() && it->second.unreported.ms > 0)
            found.emplace_back(it->second.unreported.ms, &id);
    }
    std::ranges::sort(found, [](const auto &a, const auto &b) { return a.first > b.first; });
    SamplesByUpstream taken;
    for (const auto &it : found | std::views::take(maxCount))
        taken.emplace(*it.second, std::exchange(m_records.at(*it.second).unreported, {}));
    return taken;
}

void UpstreamSpeeds::reportAgain(const std::set<UpstreamId> &upstreams, Time now)
{
    for (const UpstreamId &id : upstreams) {
        const auto it = m_records.find(id);
        if (it == m_records.end())
            continue;
        Evidence &own = it->second.own;
        own.decay(m_settings.halfLife, now);
        it->second.unreported = {static_cast<std::uint32_t>(own.work),
                                 static_cast<std::uint32_t>(own.ms)};
    }
}

std::vector<UpstreamSpeeds::Change> UpstreamSpeeds::takeChanges(Time now)
{
    std::vector<Change> changes;
    for (auto &[id, it] : m_records) {
        const double found = speed(it.service, id, now);
        const double bound = m_settings.slowBelow + (it.isSlow ? recoveryMargin : 0);
        if ((found < bound) == it.isSlow)
            continue;
        it.isSlow = !it.isSlow;
        changes.push_back(
            {id, it.service, found, workPerMs(it.service, id, now).value_or(0), it.isSlow});
    }
    return changes;
}

std::size_t UpstreamSpeeds::slowCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_records | std::views::values, &Record::isSlow));
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Speed of each upstream, relative to the other upstreams of its service.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Work that an upstream did in some time: prompt tokens of an engine, calls of a plain service.
struct WorkSample
{
    std::uint32_t work = 0;
    std::uint32_t ms = 0; ///< summed over the calls that were observed
};

/// Learns the speed of each upstream. Pure, not thread-safe.
///
/// Load pattern: some upstreams of a service are permanently slower than others, and all of them
/// stall now and then. By the service's mean speed, a slow upstream gets as many calls as a fast
/// one, and the callers on it are late while fast ones have time left.
///
/// An estimate is the work divided by the time of the recent observations, together with
/// Settings::priorTime at the median speed of the siblings. Evidence expires, so an upstream that
/// is not observed is assumed to be like its siblings again and gets calls that show whether it
/// recovered. An incarnation starts without evidence.
class UpstreamSpeeds
{
public:
    struct Settings
    {
        bool isEnabled = false;
        /// Observed time in an estimate: many times a stall of a tenth of a second, so that one
        /// stall changes the estimate by a few per cent.
        Duration window = seconds(2);
        /// Weight of the siblings' median: a few calls, which may all have met one stall.
        Duration priorTime = milliseconds(300);
        /// Time in which unconfirmed evidence loses half of its weight: a few times the duration of
        /// a call, so that a slow upstream is not avoided for minutes after its recovery.
        Duration halfLife = seconds(5);
        /// An upstream below this share of the median is reported to the operator as slow.
        double slowBelow = 0.75;
    };

    /// Bounds of speed(). Outside of them, observations show calls that hung or queues that were
    /// not known, rather than the speed of an upstream.
    static constexpr double minSpeed = 0.2;
    static constexpr double maxSpeed = 3.0;
    /// A median of fewer observed upstreams says little about the others.
    static constexpr std::size_t minSiblings = 3;
    /// Largest share of Settings::window that one sample replaces.
    static constexpr double maxSampleShare = 0.25;
    /// A slow upstream has recovered when it exceeds Settings::slowBelow by this.
    static constexpr double recoveryMargin = 0.1;

    explicit UpstreamSpeeds(const Settings &settings) : m_settings(settings) { }

    bool isEnabled() const { return m_settings.isEnabled; }

    /// Adds an observation of this gateway, to be reported to others.
    void observe(const ServiceName &service, const UpstreamId &id, const WorkSample &sample,
                 Time now);
    /// Adds an observation that another gateway reported.
    void addReported(const ServiceName &service, const UpstreamId &id, const WorkSample &sample,
                     Time now);

    /// Speed of an upstream as a multiple of its siblings' median, within minSpeed … maxSpeed; 1 if
    /// disabled or unknown.
    double speed(const ServiceName &service, const UpstreamId &id, Time now);

    /// Work per ms of an upstream; none while too few siblings are known.
    std::optional<double> workPerMs(const ServiceName &service, const UpstreamId &id, Time now);

    /// Removes upstreams that are no longer in the directory.
    void removeUnlisted(const UpstreamDirectory &directory);

    using SamplesByUpstream = std::map<UpstreamId, WorkSample>;

    /// Returns and clears unreported observations of some upstreams, at most \p maxCount, those of
    /// the longest time first.
    SamplesByUpstream takeUnreported(const std::set<UpstreamId> &upstreams, std::size_t maxCount);

    /// Marks everything that this gateway has observed at some upstreams as unreported, for a
    /// scheduler that does not know it yet.
    void reportAgain(const std::set<UpstreamId> &upstreams, Time now);

    /// An upstream that became slow, or recovered.
    struct Change
    {
        UpstreamId upstream;
        ServiceName service;
        double speed = 1.0;
        double workPerMs = 0;
        bool isSlow = false;
    };

    /// Changes since the last call. Hysteresis bounds their rate.
    std::vector<Change> takeChanges(Time now);

    /// Number of upstreams that are slow as of the last takeChanges().
    std::size_t slowCount() const;

private:
    /// Decayed sums.
    struct Evidence
    {
        double work = 0;
        double ms = 0;
        Time at{}; ///< of the last decay

        void decay(Duration halfLife, Time now);
        void add(const WorkSample &sample, const Settings &settings, Time now);
    };
    struct Record
    {
        ServiceName service;
        Evidence all;
        Evidence own; ///< the part of it that this gateway has observed itself
        WorkSample unreported;
        bool isSlow = false;
    };
    struct Median
    {
        std::optional<double> workPerMs;
        Time validUntil{};
    };

    Record &record(const ServiceName &service, const UpstreamId &id);
    std::optional<double> median(const ServiceName &service, Time now);
    double estimate(const Evidence &evidence, double prior) const;

    Settings m_settings;
    std::unordered_map<UpstreamId, Record> m_records;
    std::map<ServiceName, Median> m_medians;
};

} // namespace reachlead

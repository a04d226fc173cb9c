// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Latency histograms for the metrics endpoint.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include <reachlead/clock.h>

namespace reachlead {

/// The durations that are measured.
enum class LatencyKind : std::uint8_t {
    FirstByte, ///< from the complete request to the first byte of its answer
    Whole, ///< from the complete request to the end of its answer
    Connect, ///< opening a connection to an upstream
    Size
};

/// One histogram for each kind of latency, with logarithmic bins from 1 ms to 100 s. Not
/// thread-safe: the traffic thread records the durations and formats the text.
class LatencyHistograms
{
public:
    LatencyHistograms();

    void recordLatency(LatencyKind what, Duration d);

    /// The histograms in the Prometheus text format.
    std::string prometheusText() const;

    /// An upper bound of the quantile \p q (0 … 1) in ms; 0 without samples.
    double quantile(LatencyKind what, double q) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    std::array<Histogram, static_cast<std::size_t>(LatencyKind::Size)> m_histograms;
    std::array<double, static_cast<std::size_t>(LatencyKind::Size)> m_sums{};
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/latency.h>

#include <numeric>

#include <fmt/format.h>

namespace reachlead {

namespace {

constexpr unsigned bins = 20; ///< four per decade
constexpr double minMs = 1.0;
constexpr double maxMs = 100'000.0;

constexpr std::array<std::string_view, static_cast<std::size_t>(LatencyKind::Size)> histogramNames{
    "first_byte", "whole", "connect"};

} // namespace

LatencyHistograms::LatencyHistograms()
{
    m_histograms.fill(boost::histogram::make_histogram(Axis(bins, minMs, maxMs)));
}

void LatencyHistograms::recordLatency(LatencyKind what, Duration d)
{
    const auto n = static_cast<std::size_t>(what);
    m_histograms[n](toMillis(d));
    m_sums[n] += toMillis(d);
}

std::string LatencyHistograms::prometheusText() const
{
    std::string page;
    for (std::size_t n = 0; n < histogramNames.size(); ++n) {
        const Histogram &histogram = m_histograms[n];
        const std::string name = fmt::format("reachlead_{}_milliseconds", histogramNames[n]);
        page += fmt::format("# TYPE {} histogram\n", name);
        double cumulative = histogram.at(-1);
        for (unsigned bin = 0; bin < bins; ++bin) {
            cumulative += histogram.at(static_cast<int>(bin));
            page += fmt::format("{}_bucket{{le=\"{:.3g}\"}} {}\n", name,
                                histogram.axis().bin(static_cast<int>(bin)).upper(), cumulative);
        }
        const double total = cumulative + histogram.at(static_cast<int>(bins));
        page += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", name, total,
                            name, m_sums[n], name, total);
    }
    return page;
}

double LatencyHistograms::quantile(LatencyKind what, double q) const
{
    const Histogram &histogram = m_histograms[static_cast<std::size_t>(what)];
    const double total = std::accumulate(histogram.begin(), histogram.end(), 0.0);
    double cumulative = 0;
    for (unsigned bin = 0; bin < bins; ++bin) {
        cumulative += histogram.at(static_cast<int>(bin));
        if (total > 0 && cumulative >= q * total)
            return histogram.axis().bin(static_cast<int>(bin)).upper();
    }
    return 0;
}

} // namespace reachlead

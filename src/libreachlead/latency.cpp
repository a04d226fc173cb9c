// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/latency.h>

#include <numeric>

#include <fmt/format.h>

namespace reachlead {

namespace {

constexpr unsigned bins = 20; ///< four for each tenfold step
constexpr double lowestMs = 1.0;
constexpr double highestMs = 100'000.0;

constexpr std::array<std::string_view, static_cast<std::size_t>(LatencyKind::Size)> names{
    "first_byte", "whole", "connect"};

} // namespace

LatencyHistograms::LatencyHistograms()
{
    m_histograms.fill(boost::histogram::make_histogram(Axis(bins, lowestMs, highestMs)));
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
    for (std::size_t n = 0; n < names.size(); ++n) {
        const Histogram &histogram = m_histograms[n];
        const std::string name = fmt::format("reachlead_{}_milliseconds", names[n]);
        page += fmt::format("# TYPE {} histogram\n", name);
        double below = histogram.at(-1);
        for (unsigned bin = 0; bin < bins; ++bin) {
            below += histogram.at(static_cast<int>(bin));
            page += fmt::format("{}_bucket{{le=\"{:.3g}\"}} {}\n", name,
                                histogram.axis().bin(static_cast<int>(bin)).upper(), below);
        }
        const double all = below + histogram.at(static_cast<int>(bins));
        page += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", name, all,
                            name, m_sums[n], name, all);
    }
    return page;
}

double LatencyHistograms::quantile(LatencyKind what, double q) const
{
    const Histogram &histogram = m_histograms[static_cast<std::size_t>(what)];
    const double all = std::accumulate(histogram.begin(), histogram.end(), 0.0);
    double below = 0;
    for (unsigned bin = 0; bin < bins; ++bin) {
        below += histogram.at(static_cast<int>(bin));
        if (all > 0 && below >= q * all)
            return histogram.axis().bin(static_cast<int>(bin)).upper();
    }
    return 0;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Small statistics for reports.

#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace reachlead {

/// Collects numbers and gives quantiles.
class Sample
{
public:
    void add(double value)
    {
        m_values.push_back(value);
        m_sorted = false;
    }

    std::size_t size() const { return m_values.size(); }

    /// The value below which the part \p q of all lies; 0 when there is none.
    double quantile(double q)
    {
        if (m_values.empty())
            return 0;
        if (!m_sorted)
            std::ranges::sort(m_values);
        m_sorted = true;
        const double place = q * static_cast<double>(m_values.size() - 1);
        return m_values[static_cast<std::size_t>(std::lround(place))];
    }

    double median() { return quantile(0.5); }

private:
    std::vector<double> m_values;
    bool m_sorted = false;
};

} // namespace reachlead

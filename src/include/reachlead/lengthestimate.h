// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Online estimate of answer lengths.

#pragma once

#include <algorithm>

namespace reachlead {

/// Tracks one quantile of a stream of lengths in steps proportional to the estimate itself
/// (stochastic approximation after Robbins and Monro, 1951). The state is a single number.
class LengthEstimate
{
public:
    /// \p quantile is in 0 … 1; \p initial is the estimate in tokens before the first observation.
    explicit LengthEstimate(double quantile = 0.7, double initial = 128)
        : m_quantile(quantile), m_value(initial)
    { }

    /// Adds the length of an answer.
    void learn(double tokens)
    {
        constexpr double step = 0.1;
        ++m_samples;
        constexpr double minLength = 1.0;
        const double gradient = tokens > m_value ? m_quantile : m_quantile - 1.0;
        m_value = std::max(minLength, m_value * (1.0 + step * gradient));
    }

    /// The estimate in tokens.
    double value() const { return m_value; }

    /// True after enough answers for the estimate to be used.
    bool hasEnoughSamples() const { return m_samples >= minSamples; }

private:
    static constexpr unsigned minSamples = 20;

    double m_quantile;
    double m_value;
    unsigned m_samples = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Learns the length of answers online.

#pragma once

#include <algorithm>

namespace reachlead {

/// Follows one quantile of a stream of lengths, by steps in proportion to the estimate itself
/// (stochastic approximation after Robbins and Monro, 1951). State: one number.
class LengthEstimate
{
public:
    /// \p quantile in 0 … 1; \p first is the estimate before anything was seen, in tokens.
    explicit LengthEstimate(double quantile = 0.7, double first = 128)
        : m_quantile(quantile), m_value(first)
    { }

    /// Learns that an answer had \p tokens.
    void learn(double tokens)
    {
        constexpr double step = 0.1;
        ++m_learned;
        constexpr double least = 1.0;
        const double pull = tokens > m_value ? m_quantile : m_quantile - 1.0;
        m_value = std::max(least, m_value * (1.0 + step * pull));
    }

    /// The estimate in tokens.
    double value() const { return m_value; }

    /// True once enough answers were seen to decide by the estimate.
    bool hasEnoughSamples() const { return m_learned >= enough; }

private:
    static constexpr unsigned enough = 20;

    double m_quantile;
    double m_value;
    unsigned m_learned = 0;
};

} // namespace reachlead

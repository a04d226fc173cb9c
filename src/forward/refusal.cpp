// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "refusal.h"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace reachlead {

namespace {

namespace http = boost::beast::http;

/// A caller is asked to wait for at most this fraction of its remaining timeout; the rest is left
/// for the retry itself.
constexpr int maxWaitDivisor = 8;
constexpr Duration minRetryAfter = milliseconds(50); ///< a few round trips

} // namespace

std::optional<Duration> computeRetryAfter(ErrorKind kind, std::optional<Duration> timeLeft)
{
    const auto kindRetryAfter = errorRow(kind).retryAfter;
    if (!kindRetryAfter)
        return std::nullopt;
    const Duration retryAfter = *kindRetryAfter;
    if (!timeLeft)
        return retryAfter;
    return std::max<Duration>(minRetryAfter,
                              std::min<Duration>(retryAfter, *timeLeft / maxWaitDivisor));
}

FullAnswer makeRefusal(const Error &error, const RefusalOptions &options)
{
    const ErrorRow &row = errorRow(error.kind);
    const boost::json::object body{
        {"error", {{"kind", row.name}, {"outcome", toString(row.outcome)}, {"message", row.text}}}};
    FullAnswer answer;
    answer.version(11);
    answer.result(row.status);
    answer.set(http::field::content_type, "application/json");
    if (options.retryAfter)
        answer.set(http::field::retry_after, fmt::format("{:.3f}", toSeconds(*options.retryAfter)));
    answer.keep_alive(options.keepAlive);
    answer.body() = boost::json::serialize(body);
    answer.prepare_payload();
    if (options.isHead)
        answer.body().clear(); // the headers are those of the same answer to GET
    return answer;
}

} // namespace reachlead

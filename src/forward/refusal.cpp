// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "refusal.h"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace reachlead {

namespace {

namespace http = boost::beast::http;

/// Part of a caller's time after which it should come back at the latest: the rest is left for the
/// attempt itself.
constexpr int patiencePart = 8;
constexpr Duration shortestPause = milliseconds(50); ///< a few round trips

} // namespace

std::optional<Duration> computeRetryAfter(ErrorKind kind, std::optional<Duration> patience)
{
    const auto pause = errorRow(kind).retryAfter;
    if (!pause)
        return std::nullopt;
    const Duration wanted = *pause;
    if (!patience)
        return wanted;
    return std::max<Duration>(shortestPause, std::min<Duration>(wanted, *patience / patiencePart));
}

FullAnswer makeRefusal(const Error &error, std::optional<Duration> comeBack, bool keepAlive)
{
    const ErrorRow &row = errorRow(error.kind);
    const boost::json::object body{
        {"error", {{"kind", row.name}, {"outcome", toString(row.outcome)}, {"message", row.text}}}};
    FullAnswer answer;
    answer.version(11);
    answer.result(row.status);
    answer.set(http::field::content_type, "application/json");
    if (comeBack)
        answer.set(http::field::retry_after, fmt::format("{:.3f}", toSeconds(*comeBack)));
    answer.keep_alive(keepAlive);
    answer.body() = boost::json::serialize(body);
    answer.prepare_payload();
    return answer;
}

} // namespace reachlead

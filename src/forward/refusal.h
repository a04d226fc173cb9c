// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Error answers made by the gateway itself.

#pragma once

#include <optional>

#include <reachlead/error.h>

#include "caller/callerstream.h"

namespace reachlead {

/// Makes the error answer: the status of the error kind, a JSON body with the kind and the outcome
/// of the call, and a Retry-After header if \p retryAfter is set.
FullAnswer makeRefusal(const Error &error, std::optional<Duration> retryAfter, bool keepAlive);

/// Returns the time after which a refused caller should retry: that of the error kind, reduced so
/// that enough of \p timeLeft, the caller's remaining timeout, is left for the retry. None if
/// waiting does not help.
std::optional<Duration> computeRetryAfter(ErrorKind kind, std::optional<Duration> timeLeft);

} // namespace reachlead

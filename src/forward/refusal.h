// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Error answers made by the gateway itself.

#pragma once

#include <optional>

#include <reachlead/error.h>

#include "caller/callerstream.h"

namespace reachlead {

/// How an error answer is sent.
struct RefusalOptions
{
    std::optional<Duration> retryAfter;
    bool keepAlive = false;
    bool isHead = false; ///< the method is HEAD: a body would stand before the next answer
};

/// Makes the error answer: the status of the error kind, and a JSON body with the kind and the
/// outcome of the call.
FullAnswer makeRefusal(const Error &error, const RefusalOptions &options);

/// Returns the time after which a refused caller should retry: that of the error kind, reduced so
/// that enough of \p timeLeft, the caller's remaining timeout, is left for the retry. None if
/// waiting does not help.
std::optional<Duration> computeRetryAfter(ErrorKind kind, std::optional<Duration> timeLeft);

} // namespace reachlead

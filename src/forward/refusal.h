// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The answers that a gateway gives by itself.

#pragma once

#include <optional>

#include <reachlead/error.h>

#include "caller/callerstream.h"

namespace reachlead {

/// Makes the answer of an error kind: its status, a JSON body that says what is known of the call,
/// and when to come back.
FullAnswer makeRefusal(const Error &error, std::optional<Duration> comeBack, bool keepAlive);

/// When a refused caller should come back, given how long it still waits: the kind's own pause,
/// but soon enough that another attempt can be whole. None when waiting does not help.
std::optional<Duration> computeRetryAfter(ErrorKind kind, std::optional<Duration> patience);

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a process that crashes still says.

#pragma once

namespace reachlead {

/// From now on a fatal signal (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) writes one log line and
/// the addresses of the calls under way to standard output, and then ends the process as it would
/// have. `addr2line -Cfe PROGRAM ADDRESS` names the places. Call once, at the start.
void installCrashHandler();

} // namespace reachlead

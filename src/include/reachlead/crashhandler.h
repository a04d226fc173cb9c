// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Crash reports on fatal signals.

#pragma once

namespace reachlead {

/// Installs a handler for fatal signals (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) that writes one
/// log line and a backtrace to standard output before the default action ends the process.
/// `addr2line -Cfe PROGRAM ADDRESS` resolves the addresses. Call once at start-up.
void installCrashHandler();

} // namespace reachlead

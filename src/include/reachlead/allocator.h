// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Settings of the C library's memory allocator.

#pragma once

#include <cstddef>

namespace reachlead {

/// Blocks of at least this size, in bytes, have pages of their own, which are returned to the
/// kernel when the block is freed.
constexpr std::size_t ownPagesThreshold = 128U << 10U;

/// Makes the process return freed memory to the kernel, so that what a process holds bounds what is
/// resident. By default the allocator raises its thresholds with the first large block that is
/// freed; large blocks then lie between small ones, and their memory stays resident.
///
/// To be called before other threads start.
void returnFreedMemory();

} // namespace reachlead

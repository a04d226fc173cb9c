// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/allocator.h>

#include <malloc.h>

namespace reachlead {

void returnFreedMemory()
{
    // Setting a threshold also keeps the allocator from adjusting it.
    constexpr int bytes = ownPagesThreshold;
    mallopt(M_MMAP_THRESHOLD, bytes);
    mallopt(M_TRIM_THRESHOLD, bytes);
}

} // namespace reachlead

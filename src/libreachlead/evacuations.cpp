// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/evacuations.h>

#include <xxhash.h>

namespace reachlead {

std::uint32_t Evacuations::checksum() const
{
    std::uint32_t hash = 0;
    for (const ZoneName &zone : m_zones)
        hash = XXH32(zone.text.data(), zone.text.size(), hash);
    return hash;
}

} // namespace reachlead

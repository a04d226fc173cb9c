// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/placementmessages.h"

#include "peer/payload.h"

namespace reachlead {

std::string encodeReport(const GroupLoad &report)
{
    return pvt::encodePayload(report);
}

std::optional<GroupLoad> decodeReport(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<GroupLoad>(payload, reason);
}

std::string encodePlacementAsk(const PlacementAsk &ask)
{
    return pvt::encodePayload(ask);
}

std::optional<PlacementAsk> decodePlacementAsk(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<PlacementAsk>(payload, reason);
}

std::string encodePlacementAnswer(const PlacementAnswer &answer)
{
    return pvt::encodePayload(answer);
}

std::optional<PlacementAnswer> decodePlacementAnswer(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<PlacementAnswer>(payload, reason);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/placementmessages.h"

#include "peer/payload.h"

namespace reachlead {

std::string encodeGroupLoad(const GroupLoad &report)
{
    return pvt::encodePayload(report);
}

std::optional<GroupLoad> decodeGroupLoad(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<GroupLoad>(payload, reason);
}

std::string encodePlacementQuery(const PlacementQuery &query)
{
    return pvt::encodePayload(query);
}

std::optional<PlacementQuery> decodePlacementQuery(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<PlacementQuery>(payload, reason);
}

std::string encodePlacementReply(const PlacementReply &reply)
{
    return pvt::encodePayload(reply);
}

std::optional<PlacementReply> decodePlacementReply(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<PlacementReply>(payload, reason);
}

std::string encodeWaitingCallNote(const WaitingCallNote &note)
{
    return pvt::encodePayload(note);
}

std::optional<WaitingCallNote> decodeWaitingCallNote(std::string_view payload, std::string *reason)
{
    return pvt::decodePayload<WaitingCallNote>(payload, reason);
}

} // namespace reachlead

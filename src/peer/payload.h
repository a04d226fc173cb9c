// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Conversion between messages and payloads that have no length prefix.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>

#include "peer/archive.h"

namespace reachlead::pvt {

/// Encodes \p parts one after the other.
template <class... Parts> std::string encodePayload(const Parts &...parts)
{
    std::string out;
    FrameWriter archive(&out);
    archive(parts...);
    return out;
}

/// Decodes a payload into \p parts. Returns false and sets \p reason when the bytes are not exactly
/// an encoding of these types.
template <class... Parts>
bool decodeParts(std::string_view payload, std::string *reason, Parts &...parts)
{
    try {
        FrameReader archive(payload);
        archive(parts...);
        if (archive.remaining() == 0)
            return true;
        *reason = "unexpected bytes after the message";
    } catch (const std::exception &e) {
        *reason = e.what();
    }
    return false;
}

/// Decodes one message. Returns nothing and sets \p reason when the bytes are not an encoding of
/// it.
template <class Message>
std::optional<Message> decodePayload(std::string_view payload, std::string *reason)
{
    Message message;
    return decodeParts(payload, reason, message) ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace reachlead::pvt

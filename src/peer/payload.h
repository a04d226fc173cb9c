// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages to and from payloads without a length ahead.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>

#include "peer/archive.h"

namespace reachlead::pvt {

template <class... Parts> std::string encodePayload(const Parts &...parts)
{
    std::string out;
    FrameWriter archive(&out);
    archive(parts...);
    return out;
}

/// Reads the parts; false with \p reason set when the bytes are not exactly these.
template <class... Parts>
bool decodeParts(std::string_view payload, std::string *reason, Parts &...parts)
{
    try {
        FrameReader archive(payload);
        archive(parts...);
        if (archive.remaining() == 0)
            return true;
        *reason = "bytes behind the message";
    } catch (const std::exception &e) {
        *reason = e.what();
    }
    return false;
}

/// One message; nothing with \p reason set for other bytes.
template <class Message>
std::optional<Message> decodePayload(std::string_view payload, std::string *reason)
{
    Message message;
    return decodeParts(payload, reason, message) ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace reachlead::pvt

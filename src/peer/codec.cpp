// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/codec.h"

#include <bit>

#include "peer/archive.h"

namespace reachlead {

namespace {

static_assert(
    std::endian::native == std::endian::little,
    "frames are little-endian; a big-endian host needs byte swaps in FrameWriter and FrameReader");

template <class Message> void append(std::string *out, const Message &message)
{
    const std::size_t start = out->size();
    out->append(frameHeaderBytes, '\0');
    FrameWriter archive(out);
    archive(message);
    const auto size = static_cast<std::uint32_t>(out->size() - start - frameHeaderBytes);
    std::memcpy(out->data() + start, &size, sizeof size);
}

template <class Message>
std::optional<Message> decode(std::string_view payload, std::string *reason)
{
    try {
        Message message;
        FrameReader archive(payload);
        archive(message);
        if (archive.remaining() != 0) {
            *reason = "unexpected bytes after the message";
            return std::nullopt;
        }
        return message;
    } catch (const std::exception &e) {
        *reason = e.what();
        return std::nullopt;
    }
}

/// Replaces values that this version does not know: tables are indexed by them. An agent of a later
/// version may send them, so that they do not end its session.
template <class Message> void replaceUnknownValues(Message &message)
{
    if constexpr (requires { message.kind; }) {
        if (message.kind >= ErrorKind::Size)
            message.kind = ErrorKind::Internal;
    }
    if constexpr (requires { message.outcome; }) {
        if (message.outcome > Outcome::Unknown)
            message.outcome = Outcome::Unknown;
    }
}

} // namespace

void appendFrame(std::string *out, const ToAgent &message)
{
    append(out, message);
}

void appendFrame(std::string *out, const ToRouter &message)
{
    append(out, message);
}

std::optional<std::size_t> frameLength(std::string_view head)
{
    std::uint32_t size = 0;
    std::memcpy(&size, head.data(), sizeof size);
    if (size > maxFrameBytes)
        return std::nullopt;
    return size;
}

std::optional<ToAgent> decodeToAgent(std::string_view payload, std::string *reason)
{
    return decode<ToAgent>(payload, reason);
}

std::optional<ToRouter> decodeToRouter(std::string_view payload, std::string *reason)
{
    std::optional<ToRouter> message = decode<ToRouter>(payload, reason);
    if (message)
        std::visit([](auto &m) { replaceUnknownValues(m); }, *message);
    return message;
}

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    std::string out;
    FrameWriter archive(&out);
    archive(heartbeat);
    return out;
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view payload, std::string *reason)
{
    return decode<Heartbeat>(payload, reason);
}

} // namespace reachlead

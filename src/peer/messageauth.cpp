// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/messageauth.h"

#include <fmt/format.h>

#include "peer/codec.h"

namespace reachlead {

std::string helloSigningInput(const std::string &agentNonce, const VmName &agent,
                              const Hello &hello)
{
    return fmt::format("hello\n{}\n{}\n{}\n{:x}\n{}\n{}\n{}", agentNonce, agent.text, hello.vm.text,
                       hello.incarnation.value, hello.session, hello.heartbeatPort, hello.nonce);
}

std::string welcomeSigningInput(const std::string &routerNonce, const Welcome &welcome)
{
    return fmt::format("welcome\n{}\n{}\n{:x}\n{}\n{}", routerNonce, welcome.vm.text,
                       welcome.incarnation.value, welcome.target.text,
                       welcome.softwareVersion.text);
}

std::string heartbeatSigningInput(Heartbeat heartbeat)
{
    heartbeat.proof.clear();
    return encodeHeartbeat(heartbeat);
}

namespace {

std::string signingInput(PeerMessageKind kind, std::string_view nonce, std::string_view message)
{
    return fmt::format("{}{:08x}{}{}", static_cast<char>(kind), nonce.size(), nonce, message);
}

} // namespace

std::string signMessage(const FleetKeys &keys, PeerMessageKind kind, std::string_view nonce,
                        std::string message)
{
    const std::string tag = keys.tag(signingInput(kind, nonce, message));
    return std::move(message) + tag;
}

std::optional<std::string_view> verifyMessage(const FleetKeys &keys, PeerMessageKind kind,
                                              std::string_view nonce, std::string_view bytes)
{
    if (keys.empty())
        return bytes;
    if (bytes.size() < FleetKeys::tagSize)
        return std::nullopt;
    const std::string_view message = bytes.substr(0, bytes.size() - FleetKeys::tagSize);
    const std::string_view tag = bytes.substr(message.size());
    if (!keys.verifyTag(signingInput(kind, nonce, message), tag))
        return std::nullopt;
    return message;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/proof.h"

#include <fmt/format.h>

#include "peer/codec.h"

namespace reachlead {

std::string helloText(const std::string &agentNonce, const VmName &agent, const Hello &hello)
{
    return fmt::format("hello\n{}\n{}\n{}\n{:x}\n{}\n{}\n{}", agentNonce, agent.text, hello.vm.text,
                       hello.incarnation.value, hello.session, hello.heartbeatPort, hello.nonce);
}

std::string welcomeText(const std::string &routerNonce, const Welcome &welcome)
{
    return fmt::format("welcome\n{}\n{}\n{:x}\n{}", routerNonce, welcome.vm.text,
                       welcome.incarnation.value, welcome.target.text);
}

std::string heartbeatText(Heartbeat beat)
{
    beat.proof.clear();
    return encodeHeartbeat(beat);
}

} // namespace reachlead

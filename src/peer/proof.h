// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The texts that routers and agents sign to prove that they belong to the fleet.

#pragma once

#include <string>

#include <reachlead/messages.h>

namespace reachlead {

/// What a router signs in its Hello: bound to this connection by the agent's nonce.
std::string helloText(const std::string &agentNonce, const VmName &agent, const Hello &hello);

/// What an agent signs in its Welcome: bound to this connection by the router's nonce.
std::string welcomeText(const std::string &routerNonce, const Welcome &welcome);

/// What an agent signs of a heartbeat: all of it but the proof.
std::string heartbeatText(Heartbeat beat);

} // namespace reachlead

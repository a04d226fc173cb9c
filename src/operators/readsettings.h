// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sections of process settings that several daemons share.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/http.h>
#include <reachlead/inifile.h>

#include "operators/adminserver.h"

namespace reachlead {

/// Takes `ADDRESS:PORT` at \p key, then finishes the reader; the first fault, if any.
std::optional<std::string> readEndpoint(const IniFile &file, IniReader &reader,
                                        std::string_view section, std::string_view key,
                                        Endpoint *out);

/// Reads the section `operators`.
std::optional<std::string> readOperators(const IniFile &file, AdminServer::Options *out);

/// Reads the section `log`; \p level is the index of a LogLevel.
std::optional<std::string> readLog(const IniFile &file, std::size_t *level);

} // namespace reachlead

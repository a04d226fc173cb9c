// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sections of the settings file that several daemons have in common.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <reachlead/http.h>
#include <reachlead/inifile.h>

#include "operators/adminserver.h"

namespace reachlead {

/// Reads `ADDRESS:PORT` at \p key and finishes the reader. Returns the first error, if any.
std::optional<std::string> readEndpoint(const IniFile &file, IniReader &reader,
                                        std::string_view section, std::string_view key,
                                        Endpoint *out);

/// Reads the section `operators`. Returns the first error, if any.
std::optional<std::string> readOperators(const IniFile &file, AdminServer::Options *out);

/// Reads the section `log`. \p level is set to the index of a LogLevel. Returns the first error, if
/// any.
std::optional<std::string> readLog(const IniFile &file, std::size_t *level);

} // namespace reachlead

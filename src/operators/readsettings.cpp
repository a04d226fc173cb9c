// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "operators/readsettings.h"

#include <fmt/format.h>

namespace reachlead {

std::optional<std::string> readEndpoint(const IniFile &file, IniReader &reader,
                                        std::string_view section, std::string_view key,
                                        Endpoint *out)
{
    std::string text;
    reader.takeText(key, &text);
    if (auto fault = reader.finish())
        return fault;
    if (text.empty())
        return std::nullopt;
    const std::optional<Endpoint> endpoint = Endpoint::parse(text);
    if (!endpoint)
        return fmt::format("{}: key '{}' in section '{}': expected IP-NUMBER:PORT, found '{}'",
                           file.source(), key, section, text);
    *out = *endpoint;
    return std::nullopt;
}

std::optional<std::string> readOperators(const IniFile &file, AdminServer::Options *out)
{
    IniReader reader(file, "operators");
    reader.require("listen")
        .takeText("read_key", &out->readKey)
        .takeText("write_key", &out->writeKey);
    return readEndpoint(file, reader, "operators", "listen", &out->listen);
}

std::optional<std::string> readLog(const IniFile &file, std::size_t *level)
{
    IniReader reader(file, "log");
    reader.takeEnum("level", {"debug", "info", "warn", "error"}, level);
    return reader.finish();
}

} // namespace reachlead

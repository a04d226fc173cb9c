// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/fleetkeys.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <reachlead/log.h>

namespace reachlead {

namespace {

constexpr Duration checkInterval = seconds(1);

std::string hmac(const std::string &key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return {digest.begin(), digest.begin() + size};
}

std::string hmacHex(const std::string &key, std::string_view text)
{
    std::string out;
    for (const char byte : hmac(key, text))
        out += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    return out;
}

std::string hmacTag(const std::string &key, std::string_view text)
{
    return hmac(key, text).substr(0, FleetKeys::tagSize);
}

bool isEqual(std::string_view expected, std::string_view actual)
{
    return expected.size() == actual.size()
        && CRYPTO_memcmp(expected.data(), actual.data(), actual.size()) == 0;
}

} // namespace

std::optional<FleetKeys> FleetKeys::parse(std::string_view text, std::string *reason)
{
    FleetKeys keys;
    std::istringstream in{std::string(text)};
    for (std::string line; std::getline(in, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        if (line.size() < minKeySize) {
            *reason = fmt::format("expected keys of at least {} bytes", minKeySize);
            return std::nullopt;
        }
        keys.m_keys.push_back(line);
    }
    if (keys.m_keys.empty()) {
        *reason = "expected a key on a line of its own, found none";
        return std::nullopt;
    }
    return keys;
}

std::string FleetKeys::sign(std::string_view text) const
{
    return m_keys.empty() ? std::string() : hmacHex(m_keys.front(), text);
}

bool FleetKeys::verify(std::string_view text, std::string_view signature) const
{
    if (m_keys.empty())
        return true;
    return std::ranges::any_of(
        m_keys, [&](const std::string &key) { return isEqual(hmacHex(key, text), signature); });
}

std::string FleetKeys::tag(std::string_view text) const
{
    return m_keys.empty() ? std::string() : hmacTag(m_keys.front(), text);
}

bool FleetKeys::verifyTag(std::string_view text, std::string_view tag) const
{
    if (m_keys.empty())
        return true;
    return std::ranges::any_of(
        m_keys, [&](const std::string &key) { return isEqual(hmacTag(key, text), tag); });
}

std::optional<std::string> FleetKeyFile::read()
{
    const std::ifstream in(m_path, std::ios::binary);
    if (!in)
        return m_path + ": cannot be read";
    std::ostringstream text;
    text << in.rdbuf();
    std::string reason;
    auto keys = FleetKeys::parse(text.str(), &reason);
    if (!keys)
        return fmt::format("{}: {}", m_path, reason);
    m_keys = std::move(*keys);
    return std::nullopt;
}

std::optional<std::string> FleetKeyFile::open()
{
    if (m_path.empty())
        return std::nullopt;
    std::scoped_lock lock(m_mutex);
    std::error_code ignored;
    m_modifiedAt = std::filesystem::last_write_time(m_path, ignored);
    m_checkedAt = RuntimeClock::now();
    return read();
}

FleetKeys FleetKeyFile::keys()
{
    std::scoped_lock lock(m_mutex);
    const Time now = RuntimeClock::now();
    if (m_path.empty() || now - m_checkedAt < checkInterval)
        return m_keys;
    m_checkedAt = now;
    std::error_code ec;
    const auto modifiedAt = std::filesystem::last_write_time(m_path, ec);
    if (ec || modifiedAt == m_modifiedAt)
        return m_keys;
    m_modifiedAt = modifiedAt;
    if (const auto error = read())
        LogLine(LogLevel::Error, "fleet-keys-not-read").with("reason", *error);
    else
        LogLine(LogLevel::Info, "fleet-keys-read").with("file", m_path);
    return m_keys;
}

} // namespace reachlead

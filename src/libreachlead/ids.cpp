// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/ids.h>

#include <charconv>
#include <random>

#include <fmt/format.h>

namespace reachlead {

TargetName modelTarget(std::string_view model)
{
    return TargetName(fmt::format("model:{}", model));
}

TargetName serviceTarget(std::string_view service)
{
    return TargetName(fmt::format("service:{}", service));
}

Incarnation makeIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return Incarnation{distribution(device)};
}

std::string toString(const RequestId &id)
{
    return fmt::format("{:016x}-{}", id.router.value, id.sequence);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    constexpr std::size_t hexDigits = 16;
    if (text.size() < hexDigits + 2 || text[hexDigits] != '-')
        return std::nullopt;
    RequestId id;
    const std::string_view hex = text.substr(0, hexDigits);
    const std::string_view number = text.substr(hexDigits + 1);
    const auto hexResult = std::from_chars(hex.begin(), hex.end(), id.router.value, 16);
    const auto numberResult = std::from_chars(number.begin(), number.end(), id.sequence);
    if (hexResult.ec != std::errc() || hexResult.ptr != hex.end())
        return std::nullopt;
    if (numberResult.ec != std::errc() || numberResult.ptr != number.end())
        return std::nullopt;
    return id;
}

} // namespace reachlead

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
    std::uniform_int_distribution<std::uint64_t> spread(1);
    return Incarnation{spread(device)};
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
    const char *end = text.data() + text.size();
    const auto head = std::from_chars(text.data(), text.data() + hexDigits, id.router.value, 16);
    const auto tail = std::from_chars(text.data() + hexDigits + 1, end, id.sequence);
    if (head.ec != std::errc() || head.ptr != text.data() + hexDigits)
        return std::nullopt;
    if (tail.ec != std::errc() || tail.ptr != end)
        return std::nullopt;
    return id;
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Strong types for names, ids and units, which the compiler does not let be mixed up.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace reachlead {

/// A name that can only be compared with names of the same kind.
template <class Tag> struct Name
{
    std::string text;

    Name() = default;
    explicit Name(std::string t) : text(std::move(t)) { }

    bool empty() const { return text.empty(); }
    auto operator<=>(const Name &) const = default;

    /// Serialization hook of cereal.
    template <class Archive> void serialize(Archive &ar) { ar(text); }
};

using AccountName = Name<struct AccountTag>;
using ClassName = Name<struct ClassTag>;
using VmName = Name<struct VmTag>;
using ZoneName = Name<struct ZoneTag>;
using RegionName = Name<struct RegionTag>;

/// The version of an upstream's software; empty: not given. Versions have no order.
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/// The target of a request, a model or a plain service, as `model:NAME` or `service:NAME`.
using TargetName = Name<struct TargetTag>;

TargetName modelTarget(std::string_view model);

TargetName serviceTarget(std::string_view service);

/// A priority level; 0 is the highest.
enum class Tier : std::uint8_t { };

/// The number of supported tiers.
inline constexpr std::size_t tierCount = 5;

/// Returns the index of a tier in arrays of tierCount entries.
constexpr std::size_t indexOf(Tier t)
{
    return static_cast<std::size_t>(t);
}

/// Identifies one run of a process, as a VM name does not distinguish a restarted process from its
/// predecessor.
struct Incarnation
{
    std::uint64_t value = 0;

    auto operator<=>(const Incarnation &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(value); }
};

/// Returns a random incarnation, never 0.
Incarnation makeIncarnation();

/// Identifies a request within the fleet: the router's incarnation and a sequence number within it.
struct RequestId
{
    Incarnation router;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(router, sequence); }
};

/// Formats a request id as `<16 hex digits>-<decimal>`.
std::string toString(const RequestId &id);

/// Parses the format of toString(); returns nothing for any other text.
std::optional<RequestId> parseRequestId(std::string_view text);

/// Number of a dispatch of a request: 1 for the first, and higher for each retry.
using Attempt = std::uint32_t;

/// CPU capacity in thousandths of a core; 0: not reported.
using MilliCores = std::uint32_t;

/// A number of model tokens.
using TokenCount = std::uint64_t;

} // namespace reachlead

template <> struct std::hash<reachlead::RequestId>
{
    std::size_t operator()(const reachlead::RequestId &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.router.value ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};

template <class Tag> struct std::hash<reachlead::Name<Tag>>
{
    std::size_t operator()(const reachlead::Name<Tag> &n) const noexcept
    {
        return std::hash<std::string>{}(n.text);
    }
};

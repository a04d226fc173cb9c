// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Strong types for names, ids and units, so that one cannot stand where another is meant.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace reachlead {

/// A name that only compares with names of its own kind.
template <class Tag> struct Name
{
    std::string text;

    Name() = default;
    explicit Name(std::string t) : text(std::move(t)) { }

    /// True when no name is set.
    bool empty() const { return text.empty(); }
    auto operator<=>(const Name &) const = default;

    /// Serializes the name (cereal's hook).
    template <class Archive> void serialize(Archive &ar) { ar(text); }
};

using AccountName = Name<struct AccountTag>;
using ClassName = Name<struct ClassTag>;
using VmName = Name<struct VmTag>;
using ZoneName = Name<struct ZoneTag>;
using RegionName = Name<struct RegionTag>;

/// What a request is for: a model, or a plain service. The text is `model:NAME` or `service:NAME`.
using TargetName = Name<struct TargetTag>;

/// Makes the target name of a model.
TargetName modelTarget(std::string_view model);

/// Makes the target name of a plain service.
TargetName serviceTarget(std::string_view service);

/// A priority level; 0 is the highest.
enum class Tier : std::uint8_t { };

/// The number of tiers the product supports.
inline constexpr std::size_t tierCount = 5;

/// Index of a tier for arrays of tierCount entries.
constexpr std::size_t indexOf(Tier t)
{
    return static_cast<std::size_t>(t);
}

/// One life of one process: the VM's name cannot tell a restarted process from its predecessor.
struct Incarnation
{
    std::uint64_t value = 0;

    auto operator<=>(const Incarnation &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(value); }
};

/// Makes a random incarnation, never 0.
Incarnation makeIncarnation();

/// Identifies a request over the whole fleet: the router's incarnation and a sequence in it.
struct RequestId
{
    Incarnation router;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(router, sequence); }
};

/// Writes a request id as `<16 hex digits>-<decimal>`.
std::string toString(const RequestId &id);

/// Reads what toString() wrote; empty when the text has another shape.
std::optional<RequestId> parseRequestId(std::string_view text);

/// One dispatch of a request; a retry has a higher number. The first is 1.
using Attempt = std::uint32_t;

/// A share of a processor core, in thousandths; 0: not told.
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

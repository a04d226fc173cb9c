// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The identity of an incarnation of an upstream.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace reachlead {

/// An incarnation of an upstream process. A process may restart under its name; what was known of
/// its earlier incarnation does not apply to the new one.
struct UpstreamId
{
    std::string text; ///< its name in the registry
    std::uint64_t startedAt = 0; ///< start of this incarnation, Unix ms; 0: not known

    UpstreamId() = default;
    explicit UpstreamId(std::string name, std::uint64_t start = 0)
        : text(std::move(name)), startedAt(start)
    { }

    bool empty() const { return text.empty(); }
    auto operator<=>(const UpstreamId &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(text, startedAt); }
};

} // namespace reachlead

template <> struct std::hash<reachlead::UpstreamId>
{
    std::size_t operator()(const reachlead::UpstreamId &id) const noexcept
    {
        return std::hash<std::string>{}(id.text) ^ std::hash<std::uint64_t>{}(id.startedAt);
    }
};

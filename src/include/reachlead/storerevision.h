// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Orders the states of the platform's store, also across its restores.

#pragma once

#include <compare>
#include <cstdint>

namespace reachlead {

/// A state of the store: the value of its revision counter, in one of its eras. An era begins when
/// the store is restored from an older copy. The counter then goes back, and revisions after that
/// of the copy are assigned again to other changes, so revisions can be compared only within an
/// era. Any state of a later era is newer than all states of earlier ones, including states that
/// the restored store no longer has.
struct StoreRevision
{
    constexpr StoreRevision() = default;
    /// A revision of a store that reports no eras.
    constexpr StoreRevision(std::uint64_t number) : number(number) { }
    constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : era(era), number(number) { }

    /// False for the value before anything was read from the store.
    constexpr bool isKnown() const { return number > 0; }

    constexpr auto operator<=>(const StoreRevision &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(era, number); }

    std::uint64_t era = 0;
    std::uint64_t number = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Estimated content of an upstream's prompt cache.

#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/headercodec.h>

namespace reachlead {

/// Identifies a part of a prompt together with all parts before it, for one model.
using PromptKey = std::uint64_t;

/// A part of a prompt with its key.
struct KeyedPart
{
    PromptKey key = 0;
    TokenCount tokens = 0;
};

/// Reports that a part of a prompt was placed on an upstream.
struct PromptHint
{
    UpstreamId upstream;
    PromptKey key = 0;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, key); }
};

/// Returns the parts of a prompt with their keys, in order.
std::vector<KeyedPart> keyParts(const std::string &model, std::span<const PromptPart> prompt);

/// The prompt parts that were sent to one upstream, evicted in LRU order. An estimate: the engine
/// may evict a part sooner. Not thread-safe, reads no clock.
class PromptCache
{
public:
    /// Number of tokens at the start of \p parts that are probably cached. A part counts only if
    /// all parts before it do.
    TokenCount cachedTokens(std::span<const KeyedPart> parts) const;

    /// Adds a part that was sent and will be prefilled by \p readyAt. Returns true if it is new; a
    /// known part becomes the most recently used one and keeps its time.
    bool insert(PromptKey key, Time readyAt);

    /// When the part is expected to be prefilled; nullopt if it is not cached.
    std::optional<Time> readyAt(PromptKey key) const;

    /// Removes all parts, as after a restart of the upstream.
    void clear();

    std::size_t size() const { return m_lruOrder.size(); }

    /// Parts kept per upstream: at about 100 bytes each, 13 upstreams take 1 MB.
    static constexpr std::size_t maxParts = 800;

private:
    struct Entry
    {
        PromptKey key = 0;
        Time readyAt;
    };
    using Order = std::list<Entry>;

    Order m_lruOrder; ///< least recently used first
    std::unordered_map<PromptKey, Order::iterator> m_parts;
};

} // namespace reachlead

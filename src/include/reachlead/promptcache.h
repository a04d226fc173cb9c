// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What an upstream's cache of prompts is believed to hold.

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

/// Stands for a part of a prompt behind all the parts before it, for one model.
using PromptKey = std::uint64_t;

/// A part of a prompt with its key.
struct KeyedPart
{
    PromptKey key = 0;
    TokenCount tokens = 0;
};

/// A part of a prompt was placed on an upstream.
struct PromptHint
{
    UpstreamId upstream;
    PromptKey key = 0;

    template <class Archive> void serialize(Archive &ar) { ar(upstream, key); }
};

/// The parts of a prompt with their keys, in order.
std::vector<KeyedPart> keyParts(const std::string &model, std::span<const PromptPart> prompt);

/// The parts of prompts that were sent to one upstream, least recently used first out. A belief: an
/// engine may have dropped a part sooner. Not thread-safe, reads no clock.
class PromptCache
{
public:
    /// Tokens at the head of \p parts that are believed to be cached. A part counts only if all
    /// parts before it do.
    TokenCount cachedTokens(std::span<const KeyedPart> parts) const;

    /// A prompt with this part was sent; the part counts as cached from now on, and is read by
    /// \p readyAt. True when it is new; one that is known is ready when it was said first.
    bool insert(PromptKey key, Time readyAt);

    /// When a part is believed to be read; nothing when it is not cached.
    std::optional<Time> readyAt(PromptKey key) const;

    /// Forgets all, as after a restart of the upstream.
    void clear();

    std::size_t size() const { return m_order.size(); }

    /// Parts remembered for one upstream: about 100 bytes each, so 13 upstreams take 1 MB.
    static constexpr std::size_t maxParts = 800;

private:
    struct Held
    {
        PromptKey key = 0;
        Time readyAt;
    };
    using Order = std::list<Held>;

    Order m_order; ///< least recently used first
    std::unordered_map<PromptKey, Order::iterator> m_parts;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What an upstream's cache of prompts is believed to hold.

#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>

#include <reachlead/clock.h>
#include <reachlead/dialect.h>

namespace reachlead {

/// The parts of prompts that were sent to one upstream, least recently used first out. A belief: an
/// engine may have dropped a part sooner. Not thread-safe.
class PromptCache
{
public:
    /// Tokens at the head of \p prompt that are believed to be cached. A part counts only if all
    /// parts before it do.
    TokenCount cachedTokens(const std::string &model, std::span<const PromptPart> prompt) const;

    /// The prompt was sent: its parts are cached from now on.
    void note(const std::string &model, std::span<const PromptPart> prompt);

    /// Forgets all, as after a restart of the upstream.
    void clear();

    std::size_t size() const { return m_order.size(); }

    /// Parts remembered for one upstream: about 100 bytes each, so 13 upstreams take 1 MB.
    static constexpr std::size_t mostParts = 800;

private:
    using Key = std::uint64_t;

    void touch(Key key);

    std::list<Key> m_order; ///< least recently used first
    std::unordered_map<Key, std::list<Key>::iterator> m_parts;
};

} // namespace reachlead

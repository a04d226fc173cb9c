// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/promptcache.h>

#include <iterator>

#include <xxhash.h>

namespace reachlead {

std::vector<KeyedPart> keyParts(const std::string &model, std::span<const PromptPart> prompt)
{
    std::vector<KeyedPart> parts;
    parts.reserve(prompt.size());
    PromptKey key = XXH64(model.data(), model.size(), 0);
    // Each key is made from the one before, so that equal parts behind different ones differ.
    for (const PromptPart &part : prompt) {
        key = XXH64(&part.id, sizeof part.id, key);
        parts.push_back({key, part.tokens});
    }
    return parts;
}

TokenCount PromptCache::cachedTokens(std::span<const KeyedPart> parts) const
{
    TokenCount cached = 0;
    for (const KeyedPart &part : parts) {
        if (!m_parts.contains(part.key))
            break;
        cached += part.tokens;
    }
    return cached;
}

bool PromptCache::insert(PromptKey key, Time readyAt)
{
    const auto it = m_parts.find(key);
    if (it != m_parts.end()) {
        m_order.splice(m_order.end(), m_order, it->second);
        return false;
    }
    m_order.push_back({key, readyAt});
    m_parts.emplace(key, std::prev(m_order.end()));
    if (m_order.size() > maxParts) {
        m_parts.erase(m_order.front().key);
        m_order.pop_front();
    }
    return true;
}

std::optional<Time> PromptCache::readyAt(PromptKey key) const
{
    const auto it = m_parts.find(key);
    return it == m_parts.end() ? std::nullopt : std::optional(it->second->readyAt);
}

void PromptCache::clear()
{
    m_order.clear();
    m_parts.clear();
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/promptcache.h>

#include <iterator>

#include <xxhash.h>

namespace reachlead {

std::vector<KeyedPart> keyParts(const std::string &model, std::span<const PromptPart> prompt)
{
    std::vector<KeyedPart> parts;
    parts.reserve(prompt.size());
    PromptKey key = XXH64(model.data(), model.size(), 0);
    // Each key includes the one before, so that equal parts after different prefixes differ.
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
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, it->second);
        return false;
    }
    m_lruOrder.push_back({key, readyAt});
    m_parts.emplace(key, std::prev(m_lruOrder.end()));
    if (m_lruOrder.size() > maxParts) {
        m_parts.erase(m_lruOrder.front().key);
        m_lruOrder.pop_front();
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
    m_lruOrder.clear();
    m_parts.clear();
}

} // namespace reachlead

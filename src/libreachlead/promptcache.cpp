// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/promptcache.h>

#include <xxhash.h>

namespace reachlead {

namespace {

/// Chains a part to all before it, so that equal parts after different ones differ.
std::uint64_t chain(std::uint64_t before, const PromptPart &part)
{
    return XXH64(&part.id, sizeof part.id, before);
}

std::uint64_t beginOf(const std::string &model)
{
    return XXH64(model.data(), model.size(), 0);
}

} // namespace

TokenCount PromptCache::cachedTokens(const std::string &model,
                                     std::span<const PromptPart> prompt) const
{
    TokenCount cached = 0;
    std::uint64_t key = beginOf(model);
    for (const PromptPart &part : prompt) {
        key = chain(key, part);
        if (!m_parts.contains(key))
            break;
        cached += part.tokens;
    }
    return cached;
}

void PromptCache::note(const std::string &model, std::span<const PromptPart> prompt)
{
    std::uint64_t key = beginOf(model);
    for (const PromptPart &part : prompt) {
        key = chain(key, part);
        touch(key);
    }
}

void PromptCache::clear()
{
    m_order.clear();
    m_parts.clear();
}

void PromptCache::touch(Key key)
{
    const auto it = m_parts.find(key);
    if (it != m_parts.end()) {
        m_order.splice(m_order.end(), m_order, it->second);
        return;
    }
    m_order.push_back(key);
    m_parts.emplace(key, std::prev(m_order.end()));
    if (m_order.size() > mostParts) {
        m_parts.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace reachlead

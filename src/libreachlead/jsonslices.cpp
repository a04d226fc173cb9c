// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/jsonslices.h>

#include <algorithm>

namespace reachlead {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

/// Reads a text from its start. Each function returns nothing at the end of the text.
class Cursor
{
public:
    explicit Cursor(std::string_view text) : m_rest(text) { }

    /// Skips whitespace, and \p expected if it follows.
    bool skip(char expected)
    {
        skipWhitespace();
        if (!m_rest.starts_with(expected))
            return false;
        m_rest.remove_prefix(1);
        return true;
    }

    bool isAtEnd()
    {
        skipWhitespace();
        return m_rest.empty();
    }

    /// Takes a string, without its quotes.
    std::optional<std::string_view> takeString()
    {
        skipWhitespace();
        const std::size_t size = stringSize(m_rest);
        if (size == 0)
            return std::nullopt;
        return take(size).substr(1, size - 2);
    }

    /// Takes a value of any kind.
    std::optional<std::string_view> takeValue()
    {
        skipWhitespace();
        const std::size_t size = valueSize();
        if (size == 0)
            return std::nullopt;
        const std::string_view value = take(size);
        return value.substr(0, value.find_last_not_of(whitespace) + 1);
    }

private:
    void skipWhitespace()
    {
        m_rest.remove_prefix(std::min(m_rest.find_first_not_of(whitespace), m_rest.size()));
    }

    std::string_view take(std::size_t size)
    {
        const std::string_view taken = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return taken;
    }

    /// The size of the string at the start of \p text, with its quotes; 0: there is none, or it
    /// does not end.
    static std::size_t stringSize(std::string_view text)
    {
        if (!text.starts_with('"'))
            return 0;
        for (std::size_t n = 1; n < text.size(); ++n) {
            if (text[n] == '"')
                return n + 1;
            if (text[n] == '\\')
                ++n; // the next character is escaped
        }
        return 0;
    }

    /// The size of the value at the start of the rest; 0: it does not end.
    std::size_t valueSize() const
    {
        std::size_t depth = 0;
        for (std::size_t n = 0; n < m_rest.size(); ++n) {
            const char c = m_rest[n];
            const bool closes = c == '}' || c == ']';
            if (depth == 0 && (closes || c == ','))
                return n;
            if (c == '"') {
                const std::size_t size = stringSize(m_rest.substr(n));
                if (size == 0)
                    return 0;
                n += size - 1;
            } else if (c == '{' || c == '[') {
                ++depth;
            } else if (closes) {
                --depth;
            }
        }
        return 0;
    }

    std::string_view m_rest;
};

/// Takes the values between two brackets by \p takeOne, which returns nothing if it fails.
template <class T, class TakeOne>
std::optional<std::vector<T>> takeAll(std::string_view text, char opening, char closing,
                                      TakeOne takeOne)
{
    Cursor cursor(text);
    if (!cursor.skip(opening))
        return std::nullopt;
    std::vector<T> taken;
    bool isEnded = cursor.skip(closing);
    while (!isEnded) {
        auto one = takeOne(cursor);
        if (!one)
            return std::nullopt;
        taken.push_back(*one);
        isEnded = cursor.skip(closing);
        if (!isEnded && !cursor.skip(','))
            return std::nullopt;
    }
    return cursor.isAtEnd() ? std::optional(std::move(taken)) : std::nullopt;
}

} // namespace

std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text)
{
    return takeAll<JsonMember>(text, '{', '}', [](Cursor &cursor) -> std::optional<JsonMember> {
        const auto key = cursor.takeString();
        if (!key || !cursor.skip(':'))
            return std::nullopt;
        const auto value = cursor.takeValue();
        return value ? std::optional(JsonMember(*key, *value)) : std::nullopt;
    });
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    return takeAll<std::string_view>(text, '[', ']',
                                     [](Cursor &cursor) { return cursor.takeValue(); });
}

std::optional<std::string_view> findMember(const std::vector<JsonMember> &members,
                                           std::string_view key)
{
    const auto it = std::ranges::find(members, key, &JsonMember::first);
    return it != members.end() ? std::optional(it->second) : std::nullopt;
}

} // namespace reachlead

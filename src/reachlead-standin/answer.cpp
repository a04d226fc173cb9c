// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-standin/answer.h"

#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

namespace reachlead::standin {

namespace {

constexpr std::uint64_t minTokens = 16;
constexpr std::uint64_t maxTokens = 128;

} // namespace

AnswerPlan planAnswer(std::string_view prompt)
{
    AnswerPlan plan;
    plan.seed = XXH64(prompt.data(), prompt.size(), 0);
    plan.tokens = minTokens + plan.seed % (maxTokens - minTokens + 1);
    const auto lengthMark = prompt.rfind('#');
    if (lengthMark != std::string_view::npos) {
        std::uint64_t requested = 0;
        const char *end = prompt.data() + prompt.size();
        const auto parsed = std::from_chars(prompt.data() + lengthMark + 1, end, requested);
        if (parsed.ec == std::errc() && parsed.ptr == end && requested > 0)
            plan.tokens = requested;
    }
    return plan;
}

std::string answerToken(const AnswerPlan &plan, std::uint64_t index)
{
    const std::uint64_t word = XXH64(&index, sizeof index, plan.seed);
    return fmt::format("{}{:04x}", index == 0 ? "" : " ", word & 0xffffU);
}

std::string completeText(const AnswerPlan &plan)
{
    std::string text;
    for (std::uint64_t n = 0; n < plan.tokens; ++n)
        text += answerToken(plan, n);
    return text;
}

} // namespace reachlead::standin

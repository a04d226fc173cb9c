// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-standin/answer.h"

#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

namespace reachlead::standin {

namespace {

constexpr std::uint64_t leastTokens = 16;
constexpr std::uint64_t mostTokens = 128;

} // namespace

AnswerPlan planAnswer(std::string_view prompt)
{
    AnswerPlan plan;
    plan.seed = XXH64(prompt.data(), prompt.size(), 0);
    plan.tokens = leastTokens + plan.seed % (mostTokens - leastTokens + 1);
    const auto mark = prompt.rfind('#');
    if (mark != std::string_view::npos) {
        std::uint64_t wanted = 0;
        const char *end = prompt.data() + prompt.size();
        const auto got = std::from_chars(prompt.data() + mark + 1, end, wanted);
        if (got.ec == std::errc() && got.ptr == end && wanted > 0)
            plan.tokens = wanted;
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

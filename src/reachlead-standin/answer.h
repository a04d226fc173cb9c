// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Answers of the simulated engine. They are a function of the prompt alone, so that a load
/// generator can check that an answer is complete and belongs to its request.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachlead::standin {

/// The properties of an answer that its prompt determines.
struct AnswerPlan
{
    std::uint64_t seed = 0;
    std::uint64_t tokens = 0;
};

/// Derives the plan from the prompt: the text of the last message, or the plain prompt. A prompt
/// that ends with `#N` gets N tokens, any other from 16 to 128.
AnswerPlan planAnswer(std::string_view prompt);

std::string answerToken(const AnswerPlan &plan, std::uint64_t index);

/// The text of all tokens.
std::string completeText(const AnswerPlan &plan);

} // namespace reachlead::standin

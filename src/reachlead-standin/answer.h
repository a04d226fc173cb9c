// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The answers an engine stand-in makes: a function of the prompt alone, so that whoever knows the
/// prompt can tell whether an answer is whole and is the caller's own.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace reachlead::standin {

/// What the prompt decides.
struct AnswerPlan
{
    std::uint64_t seed = 0;
    std::uint64_t tokens = 0;
};

/// The plan of a prompt: the text of its last message, or of the plain prompt. A prompt that ends
/// with `#N` gets N tokens, any other between 16 and 128.
AnswerPlan planAnswer(std::string_view prompt);

/// The text of one token.
std::string answerToken(const AnswerPlan &plan, std::uint64_t index);

/// The whole text.
std::string completeText(const AnswerPlan &plan);

} // namespace reachlead::standin

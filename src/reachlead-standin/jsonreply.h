// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <utility>

#include <reachlead/http.h>

namespace reachlead::standin {

inline HttpResponse jsonReply(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace reachlead::standin

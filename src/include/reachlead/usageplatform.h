// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The border to what keeps the record of the usage duty and takes the reports.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <reachlead/usagereporter.h>

namespace reachlead {

/// How a call ended.
enum class UsageResult : std::uint8_t {
    Done,
    Conflict, ///< the record has another revision; nothing was done
    Refused, ///< nothing was done
    Unknown ///< no answer: it may have been done, or be done later
};

/// What a call brought.
struct UsageReply
{
    UsageResult result = UsageResult::Unknown;
    std::optional<StoredUsage> stored; ///< of a read: none when there is no record
    std::uint64_t revision = 0; ///< of a write that was done
    std::string reason; ///< why it was not done
};

/// Makes the calls of the duty, one at a time. On one thread.
class UsagePlatform
{
public:
    virtual ~UsagePlatform() = default;

    virtual boost::asio::awaitable<UsageReply> read() = 0;

    /// Writes over the record of \p revision; none: only where there is no record.
    virtual boost::asio::awaitable<UsageReply> write(UsageRecord record,
                                                     std::optional<std::uint64_t> revision) = 0;

    /// Reports the record's window. After \p limit nothing of it is on its way any more.
    virtual boost::asio::awaitable<UsageReply> send(UsageRecord record, Duration limit) = 0;

    /// Ends all calls.
    virtual void stop() = 0;
};

} // namespace reachlead

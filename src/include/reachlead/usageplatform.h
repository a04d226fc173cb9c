// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the store of the usage record and to the service that accepts usage reports.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <reachlead/usagereporter.h>

namespace reachlead {

/// Result of a call.
enum class UsageResult : std::uint8_t {
    Done,
    Conflict, ///< the era's record has another revision, or the era is over; nothing was done
    Refused, ///< nothing was done
    Unknown ///< no reply; it may have been done, or be done later
};

/// Reply to a call.
struct UsageReply
{
    UsageResult result = UsageResult::Unknown;
    std::optional<StoredUsage> stored; ///< by a read; none: there is no record
    std::uint64_t era = 0; ///< of the store, by a read
    StoreRevision revision; ///< after a successful write
    std::string reason; ///< why the call failed
};

/// Makes the calls of the usage reporter, one at a time. Used by one thread.
class UsagePlatform
{
public:
    virtual ~UsagePlatform() = default;

    /// Reads the record of the store's current era.
    virtual boost::asio::awaitable<UsageReply> read() = 0;

    /// Overwrites the record at \p revision; without a number, writes only if its era has no
    /// record.
    virtual boost::asio::awaitable<UsageReply> write(UsageRecord record,
                                                     StoreRevision revision) = 0;

    /// Reports the record's window. After \p limit, none of the report is in flight any more.
    virtual boost::asio::awaitable<UsageReply> send(UsageRecord record, Duration limit) = 0;

    /// Cancels all calls.
    virtual void stop() = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the storage of what must be known of streams after the loss of all gateways.

#pragma once

#include <map>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <reachlead/storerevision.h>
#include <reachlead/streams/streambatches.h>
#include <reachlead/streams/versionrecord.h>

namespace reachlead {

/// Everything stored for one service.
struct ArchivedService
{
    std::vector<StreamBatch> batches; ///< of all gateways
    std::map<BatchSlot, UnixMillis> ownSlots; ///< slots of this gateway and when they expire
    std::optional<VersionRecord> record;
    StoreRevision recordRevision; ///< not known if there is no record
    std::uint64_t era = 0; ///< of the store
};

/// Reads and writes the bindings and versions of services. Calls may fail, and take up to the time
/// limit of the store. Supports several reads,
/// and one write of a batch beside one of the other calls, at a time.
class StreamArchive
{
public:
    virtual ~StreamArchive() = default;

    /// Returns nothing if the store does not answer, or if a part of the answer is unreadable: what
    /// is missing cannot be told from what does not exist.
    virtual boost::asio::awaitable<std::optional<ArchivedService>> read(ServiceName service) = 0;

    /// Stores a batch of this gateway in place of the slot's previous one.
    virtual boost::asio::awaitable<bool> write(ServiceName service, BatchSlot slot,
                                               StreamBatch batch) = 0;

    /// Stores a record if the stored one still has \p replaces; without a number: if there is none.
    /// Returns the new revision.
    virtual boost::asio::awaitable<std::optional<StoreRevision>>
    write(ServiceName service, VersionRecord record, StoreRevision replaces) = 0;

    /// Removes some of the batches of gateways that are gone, as far as reads have found them.
    virtual boost::asio::awaitable<void> removeExpired() = 0;
};

} // namespace reachlead

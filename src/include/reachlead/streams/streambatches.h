// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Groups the bindings of streams into the batches in which they are stored.

#pragma once

#include <optional>
#include <set>
#include <vector>

#include <reachlead/fleettime.h>
#include <reachlead/streambindings.h>

namespace reachlead {

/// The binding of one stream.
struct BoundStream
{
    StreamKey stream;
    StreamBinding binding;

    bool operator==(const BoundStream &) const = default;
    template <class Archive> void serialize(Archive &ar) { ar(stream, binding); }
};

/// Number of a batch among those of one writer and service.
using BatchSlot = unsigned;

/// The content of a stored batch.
struct StreamBatch
{
    UnixMillis until = 0; ///< when the last of its bindings expires
    std::vector<BoundStream> streams;
};

/// The batches of one writer for one service. Each slot is an object of the store, so their number
/// is bounded, and a slot is used again once its bindings have expired. Pure; not thread-safe.
class StreamBatches
{
public:
    /// Bounds an object at about 12 KB, as the batch in progress is written again and again.
    static constexpr std::size_t maxStreams = 256;
    /// Together with maxStreams, the bound of StreamBindings.
    static constexpr BatchSlot maxSlots = 64;
    /// A batch is closed after this time, so that the one in progress stays short.
    static constexpr UnixMillis maxAgeMs = 2'000;
    /// The clocks of VMs differ by seconds.
    static constexpr UnixMillis expiryMarginMs = 10'000;

    /// Keeps a slot that an earlier process of this VM wrote.
    void occupy(BatchSlot slot, UnixMillis until);

    /// Adds a binding until \p until. Returns false if bindings had to be overwritten that have not
    /// expired.
    bool add(const BoundStream &bound, UnixMillis until, UnixMillis now);

    /// The slots to be written since the last call.
    std::set<BatchSlot> takeChanged();

    /// Marks a slot for writing again, as the write failed.
    void setChanged(BatchSlot slot) { m_changed.insert(slot); }

    bool isChanged() const { return !m_changed.empty(); }

    const StreamBatch &batch(BatchSlot slot) const { return m_batches.at(slot); }

private:
    bool openSlot(UnixMillis now);

    std::vector<StreamBatch> m_batches;
    std::optional<BatchSlot> m_open;
    UnixMillis m_openedAt = 0;
    std::set<BatchSlot> m_changed;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The software version that began each recent stream.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/routing.h>

namespace reachlead {

/// Identifies a stream: a truncated cryptographic hash of the account and of the id of the caller's
/// attempt that began it. Its size does not depend on what callers send, and no account can
/// produce the key of another one's stream.
struct StreamKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const StreamKey &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(high, low); }
};

StreamKey computeStreamKey(const AccountName &account, std::string_view attemptId);

/// The service and the software version that began a stream. Only upstreams of that version may
/// continue it, since the output of two versions does not fit together.
struct StreamBinding
{
    ServiceName service;
    SoftwareVersion version;
    /// Number of the attempt's send that the binding was made for. An attempt may be sent to
    /// another version before its first event, so the binding with the highest number is the valid
    /// one.
    std::uint32_t send = 0;

    bool operator==(const StreamBinding &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(service, version, send); }
};

} // namespace reachlead

template <> struct std::hash<reachlead::StreamKey>
{
    std::size_t operator()(const reachlead::StreamKey &key) const noexcept { return key.low; }
};

namespace reachlead {

/// The bindings of streams whose callers may still return, of this gateway and of others that
/// keep copies here. Not thread-safe, reads no clock.
class StreamBindings
{
public:
    /// A binding and when it was recorded here.
    struct Record
    {
        StreamBinding binding;
        Time recordedAt{};
        Time expiresAt{};
    };

    /// A caller returns within the timeout that it sent with the first attempt. Longer ones are
    /// cut to this, which exceeds the longest timeout in use.
    static constexpr Duration maxRetention = std::chrono::minutes(2);
    /// Added to the caller's timeout, for the way of its last attempt to a gateway.
    static constexpr Duration retentionSlack = seconds(2);
    /// Bounds memory at about 4 MB. With copies at four other gateways and timeouts of 15 s, it is
    /// reached when a gateway records more than 1,000 streams per second.
    static constexpr std::size_t maxRecords = 16'384;

    /// Records a binding until \p retention has passed, unless a later send of the stream is
    /// recorded. Returns false if another record had to be evicted: the one that expires first.
    bool record(const StreamKey &stream, const StreamBinding &binding, Duration retention,
                Time now);

    /// The binding of a stream; null if it is not known.
    const Record *find(const StreamKey &stream, Time now) const;

    /// Forgets bindings whose retention is over.
    void dropExpired(Time now);

    std::size_t size() const { return m_records.size(); }

private:
    void erase(const StreamKey &stream);

    std::unordered_map<StreamKey, Record> m_records;
    std::set<std::pair<Time, StreamKey>> m_byExpiry;
};

} // namespace reachlead

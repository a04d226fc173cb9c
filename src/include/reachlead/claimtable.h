// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Claims of idempotency keys, stored by the platform: the decision logic, without I/O.
///
/// Keys are hashed to partitions, and a partition is a ring of objects (slots). The slot with the
/// highest epoch is open and takes new claims; the others are closed and only read. Every write is
/// conditional on the slot's version, so the write of an agent with an outdated view always fails;
/// the agent then reads the slots again and finds the claims of other agents. Correctness depends
/// on this check alone; routing a key to the same agent where possible only avoids conflicts.
/// docs/decisions/004 compares the alternatives.

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <reachlead/agentcore.h>
#include <reachlead/platform.h>

namespace reachlead {

/// The prefix of the object keys of a target's claims.
std::string claimsPrefix(const TargetName &target);

/// The partition of a key. Routers use it to route a key to the same agent.
std::uint32_t claimPartition(const AccountName &account, std::string_view idempotencyKey);

/// All agents and routers must use the same value.
inline constexpr std::uint32_t claimPartitionCount = 32;

/// Identifies a pending call to the store.
enum class ClaimCallId : std::uint64_t { };

/// Read all slots of a partition.
struct ReadSlots
{
    ClaimCallId call{};
    std::string prefix;
};
/// Write one slot if its version is \p expected.
struct WriteSlot
{
    ClaimCallId call{};
    std::string key;
    std::string value;
    ObjectVersion expected{};
};
/// Reports the result of one claim.
struct ClaimCompleted
{
    AttemptKey key;
    ClaimResult result = ClaimResult::StoreDown;
};
using ClaimAction = std::variant<ReadSlots, WriteSlot, ClaimCompleted>;

/// Durations and limits of claims.
struct ClaimTuning
{
    Duration retention = seconds(900); ///< minimum time for which a key stays claimed
    Duration maxWait = seconds(2); ///< a claim not written within this time is refused
    Duration writeInterval = milliseconds(400); ///< minimum, between writes to one partition
    std::size_t slotCount = 16; ///< per partition
    std::size_t maxSlotBytes = 64U << 10U; ///< a larger slot is closed
    std::size_t maxPending = 4096; ///< queued claims and releases of all partitions
};

/// Not thread-safe; the agent's platform thread owns it.
class ClaimTable
{
public:
    /// \p wallSeconds returns the time of day in seconds; it is only used to expire closed slots.
    ClaimTable(TargetName target, ClaimTuning tuning, std::function<std::int64_t()> wallSeconds);

    void claim(const MakeClaim &claim, Time now);
    /// Releases a key; retried until it is written.
    void release(const ReleaseClaim &release, Time now);
    /// Handles the reply to a ReadSlots or WriteSlot.
    void replyReceived(ClaimCallId call, const PlatformReply &reply, Time now);
    void tick(Time now);
    std::vector<ClaimAction> takeActions();

private:
    /// The attempt that holds a key.
    struct Owner
    {
        RequestId id;
        Attempt attempt = 0;
    };
    struct Slot
    {
        ObjectVersion version{};
        std::uint64_t epoch = 0;
        std::int64_t closedAt = 0; ///< time of day; 0: open
        std::string lines;
    };
    /// A claim or release that is not yet written.
    struct Change
    {
        std::string hash;
        Owner owner;
        bool isRelease = false;
        Time deadline{}; ///< of claims
        Time madeAt{};
    };
    enum class Phase : std::uint8_t { Unread, Reading, Ready, Writing };
    struct Partition
    {
        Phase phase = Phase::Unread;
        Time readAt{}; ///< when the last read began
        std::map<std::size_t, Slot> slots; ///< by index in the ring
        std::map<std::string, Owner> owners;
        std::deque<Change> pending;
        std::vector<Change> writing;
        bool inDoubt = false; ///< the reply to the write of `writing` was lost
        Slot writingSlot;
        std::size_t writingIndex = 0;
        ClaimCallId call{};
        Time nextCallAt{};
    };

    void add(std::uint32_t partition, Change change, Time now);
    void advance(std::uint32_t number, Partition &p, Time now);
    bool needsNewerRead(const Partition &p) const;
    void read(std::uint32_t number, Partition &p, Time now);
    void write(std::uint32_t number, Partition &p, Time now);
    void loadSlots(Partition &p, const PlatformReply &reply);
    void resolveInDoubt(Partition &p);
    void writeSucceeded(Partition &p, ObjectVersion version);
    void requeue(Partition &p);
    void expire(Partition &p, Time now);
    bool findOpenSlot(Partition &p, std::size_t *index, Slot *slot) const;
    bool isClaimedByOther(const Partition &p, const Change &change) const;
    void complete(const Change &change, ClaimResult result);
    std::string slotKey(std::uint32_t number, std::size_t index) const;
    static std::string serializeSlot(const Slot &slot);
    static std::optional<Slot> parseSlot(const std::string &text);
    static void rebuildOwners(Partition &p);
    static void eraseOwner(std::map<std::string, Owner> *owners, const std::string &hash,
                           const Owner &owner);
    static void replay(const std::string &lines, std::map<std::string, Owner> *owners);

    TargetName m_target;
    ClaimTuning m_tuning;
    std::function<std::int64_t()> m_wallSeconds;
    std::map<std::uint32_t, Partition> m_partitions;
    std::map<ClaimCallId, std::uint32_t> m_calls;
    std::uint64_t m_lastCall = 0;
    std::size_t m_pending = 0;
    std::vector<ClaimAction> m_actions;
};

} // namespace reachlead

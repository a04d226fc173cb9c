// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Claims of idempotency keys, kept by the platform: the decisions, without the calls.
///
/// Keys are spread over partitions, and a partition is a ring of objects (slots). The slot with
/// the highest epoch is open and takes new claims; the others are closed and only read. Every
/// write is conditional on the slot's version, so an agent with an old view always fails, reads
/// again, and finds what others claimed. Correctness rests on that check alone; that a key usually
/// goes to the same agent only saves conflicts. docs/decisions/004 weighs the ways.

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

/// Where the claims of a target stand at the platform.
std::string claimsPrefix(const TargetName &target);

/// The partition of a key; routers use it to send a key to the same agent.
std::uint32_t claimPartition(const AccountName &account, std::string_view idempotencyKey);

/// Partitions of one target; all agents and routers must agree on it.
inline constexpr std::uint32_t claimPartitionCount = 32;

/// Numbers the calls that are out.
enum class ClaimCallId : std::uint64_t { };

/// Read all slots of a partition.
struct ReadSlots
{
    ClaimCallId call{};
    std::string prefix;
};
/// Write one slot if it stands at \p expected.
struct WriteSlot
{
    ClaimCallId call{};
    std::string key;
    std::string value;
    ObjectVersion expected{};
};
/// The word on one claim.
struct ClaimCompleted
{
    AttemptKey key;
    ClaimResult result = ClaimResult::StoreDown;
};
using ClaimAction = std::variant<ReadSlots, WriteSlot, ClaimCompleted>;

/// The times and bounds of claims.
struct ClaimTuning
{
    Duration life = seconds(900); ///< a key stays claimed at least so long
    Duration wait = seconds(2); ///< a claim not written by then is refused
    Duration spacing = milliseconds(400); ///< between two writes of one partition
    std::size_t slots = 16;
    std::size_t slotBytes = 64U << 10U; ///< a fuller slot is closed
    std::size_t mostWaiting = 4096; ///< claims and releases that wait, all partitions
};

/// Not thread-safe; the agent's platform thread owns it.
class ClaimTable
{
public:
    /// \p wallSeconds gives the time of day in seconds; it only decides when old claims go.
    ClaimTable(TargetName target, ClaimTuning tuning, std::function<std::int64_t()> wallSeconds);

    void claim(const MakeClaim &claim, Time now);
    /// Gives a key back; tried until it is written.
    void release(const ReleaseClaim &release, Time now);
    /// The answer to a ReadSlots or WriteSlot.
    void replyReceived(ClaimCallId call, const PlatformReply &reply, Time now);
    void tick(Time now);
    std::vector<ClaimAction> takeActions();

private:
    /// Who holds a key.
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
    /// A claim or release that is not written yet.
    struct Change
    {
        std::string hash;
        Owner owner;
        bool releases = false;
        Time until{}; ///< for claims
    };
    enum class Phase : std::uint8_t { Unread, Reading, Ready, Writing };
    struct Partition
    {
        Phase phase = Phase::Unread;
        std::map<std::size_t, Slot> slots; ///< by place in the ring
        std::map<std::string, Owner> owners;
        std::deque<Change> waiting;
        std::vector<Change> writing;
        bool inDoubt = false; ///< the reply to `writing` was lost
        Slot writingSlot;
        std::size_t writingPlace = 0;
        ClaimCallId call{};
        Time nextAt{};
    };

    void add(std::uint32_t partition, Change change, Time now);
    void advance(std::uint32_t number, Partition &p, Time now);
    void read(std::uint32_t number, Partition &p);
    void write(std::uint32_t number, Partition &p, Time now);
    void takeSlots(Partition &p, const PlatformReply &reply);
    void settleDoubt(Partition &p);
    void written(Partition &p, ObjectVersion version);
    void giveBack(Partition &p);
    void expire(Partition &p, Time now);
    bool openSlot(Partition &p, std::size_t *place, Slot *slot) const;
    bool takenByOther(const Partition &p, const Change &change) const;
    void end(const Change &change, ClaimResult result);
    std::string slotKey(std::uint32_t number, std::size_t place) const;
    static std::string textOf(const Slot &slot);
    static std::optional<Slot> parse(const std::string &text);
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
    std::size_t m_waiting = 0;
    std::vector<ClaimAction> m_actions;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/claimtable.h>

#include <algorithm>
#include <charconv>
#include <ranges>

#include <fmt/format.h>
#include <xxhash.h>

namespace reachlead {

namespace {

/// Time until the next call after one that failed as the store was unavailable.
constexpr Duration retryInterval = milliseconds(100);

std::string hashKey(const AccountName &account, std::string_view key)
{
    std::string joined = account.text;
    joined += '\n';
    joined += key;
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

template <class T> bool parseNumber(std::string_view text, T *out)
{
    const char *end = text.data() + text.size();
    const auto got = std::from_chars(text.begin(), text.end(), *out);
    return got.ec == std::errc() && got.ptr == end;
}

std::vector<std::string_view> splitWords(std::string_view line)
{
    std::vector<std::string_view> list;
    for (const auto part : line | std::views::split(' '))
        list.emplace_back(part.begin(), part.end());
    return list;
}

} // namespace

std::string claimsPrefix(const TargetName &target)
{
    return fmt::format("claims/{}/", target.text);
}

std::uint32_t claimPartition(const AccountName &account, std::string_view idempotencyKey)
{
    const std::string hash = hashKey(account, idempotencyKey);
    return static_cast<std::uint32_t>(XXH64(hash.data(), hash.size(), 0) % claimPartitionCount);
}

ClaimTable::ClaimTable(TargetName target, ClaimTuning tuning,
                       std::function<std::int64_t()> wallSeconds)
    : m_target(std::move(target)), m_tuning(tuning), m_wallSeconds(std::move(wallSeconds))
{ }

void ClaimTable::claim(const MakeClaim &claim, Time now)
{
    Change change{hashKey(claim.account, claim.idempotencyKey),
                  {claim.key.id, claim.key.attempt},
                  false,
                  now + m_tuning.maxWait,
                  now};
    add(claimPartition(claim.account, claim.idempotencyKey), std::move(change), now);
}

void ClaimTable::release(const ReleaseClaim &release, Time now)
{
    Change change{hashKey(release.account, release.idempotencyKey),
                  {release.key.id, release.key.attempt},
                  true,
                  Time::max(),
                  now};
    add(claimPartition(release.account, release.idempotencyKey), std::move(change), now);
}

void ClaimTable::add(std::uint32_t partition, Change change, Time now)
{
    if (m_pending >= m_tuning.maxPending) {
        // A claim is refused as not run. A release is dropped: its key then stays claimed until it
        // expires. That refuses a repeated call, but never lets one run twice.
        complete(change, ClaimResult::StoreDown);
        return;
    }
    ++m_pending;
    Partition &p = m_partitions[partition];
    p.pending.push_back(std::move(change));
    advance(partition, p, now);
}

void ClaimTable::complete(const Change &change, ClaimResult result)
{
    if (!change.isRelease)
        m_actions.emplace_back(ClaimCompleted{{change.owner.id, change.owner.attempt}, result});
}

std::vector<ClaimAction> ClaimTable::takeActions()
{
    return std::exchange(m_actions, {});
}

void ClaimTable::tick(Time now)
{
    for (auto &[number, p] : m_partitions) {
        expire(p, now);
        advance(number, p, now);
    }
}

/// Refuses claims that waited too long. Claims being written are checked once the reply to the
/// write is received.
void ClaimTable::expire(Partition &p, Time now)
{
    const auto isExpired = [&](const Change &change) {
        if (change.deadline > now)
            return false;
        complete(change, ClaimResult::StoreDown);
        return true;
    };
    m_pending -= std::erase_if(p.pending, isExpired);
    if (!p.inDoubt)
        return;
    // The write may have taken effect. The calls are refused as not run, which is correct as they
    // are never started, and the keys are released once the store can be reached.
    for (Change &change : p.writing) {
        if (!change.isRelease && isExpired(change)) {
            change.isRelease = true;
            change.deadline = Time::max();
        }
    }
}

void ClaimTable::advance(std::uint32_t number, Partition &p, Time now)
{
    const bool hasWork = !p.pending.empty() || p.inDoubt;
    if (!hasWork || now < p.nextCallAt)
        return;
    if (p.phase == Phase::Unread || (p.phase == Phase::Ready && needsNewerRead(p)))
        read(number, p, now);
    else if (p.phase == Phase::Ready)
        write(number, p, now);
}

/// True if a claim would be refused for an owner that may have released the key since the slots
/// were read: writes of others show only in the next read.
bool ClaimTable::needsNewerRead(const Partition &p) const
{
    return std::ranges::any_of(p.pending, [&](const Change &change) {
        return !change.isRelease && p.readAt < change.madeAt && isClaimedByOther(p, change);
    });
}

void ClaimTable::read(std::uint32_t number, Partition &p, Time now)
{
    p.phase = Phase::Reading;
    p.readAt = now;
    p.call = ClaimCallId{++m_lastCall};
    m_calls[p.call] = number;
    m_actions.emplace_back(ReadSlots{p.call, fmt::format("{}{}/", claimsPrefix(m_target), number)});
}

bool ClaimTable::isClaimedByOther(const Partition &p, const Change &change) const
{
    const auto it = p.owners.find(change.hash);
    if (it == p.owners.end())
        return false;
    // A later attempt of the same request may take the key: its router has proof that the earlier
    // attempt did not run.
    return it->second.id != change.owner.id || it->second.attempt > change.owner.attempt;
}

/// Finds the slot for new claims: the open one, or a new one that overwrites the oldest. Returns
/// false when all slots are still within their retention.
bool ClaimTable::findOpenSlot(Partition &p, std::size_t *index, Slot *slot) const
{
    const auto newest =
        std::ranges::max_element(p.slots, {}, [](const auto &entry) { return entry.second.epoch; });
    if (newest == p.slots.end()) {
        *index = 0;
        *slot = Slot{};
        slot->epoch = 1;
        return true;
    }
    if (newest->second.closedAt == 0) {
        *index = newest->first;
        *slot = newest->second;
        return true;
    }
    *index = (newest->first + 1) % m_tuning.slotCount;
    const auto oldest = p.slots.find(*index);
    const auto retention = static_cast<std::int64_t>(toSeconds(m_tuning.retention));
    if (oldest != p.slots.end() && m_wallSeconds() - oldest->second.closedAt < retention)
        return false; // all slots are within their retention
    *slot = Slot{};
    slot->version = oldest == p.slots.end() ? ObjectVersion{} : oldest->second.version;
    slot->epoch = newest->second.epoch + 1;
    return true;
}

void ClaimTable::write(std::uint32_t number, Partition &p, Time now)
{
    const bool hasRoom = findOpenSlot(p, &p.writingIndex, &p.writingSlot);
    while (!p.pending.empty()) {
        Change change = std::move(p.pending.front());
        p.pending.pop_front();
        --m_pending;
        const bool inBatch = std::ranges::any_of(p.writing, [&](const Change &other) {
            return other.hash == change.hash && other.owner.id != change.owner.id
                && !other.isRelease;
        });
        if (!change.isRelease && (inBatch || isClaimedByOther(p, change)))
            complete(change, ClaimResult::Taken);
        else if (!hasRoom)
            complete(change, ClaimResult::StoreDown);
        else
            p.writing.push_back(std::move(change));
    }
    if (p.writing.empty())
        return;
    for (const Change &change : p.writing) {
        p.writingSlot.lines +=
            fmt::format("{}{} {} {}\n", change.isRelease ? '-' : '+', change.hash,
                        toString(change.owner.id), change.owner.attempt);
    }
    if (p.writingSlot.lines.size() > m_tuning.maxSlotBytes)
        p.writingSlot.closedAt = m_wallSeconds();
    p.phase = Phase::Writing;
    p.nextCallAt = now + m_tuning.writeInterval;
    p.call = ClaimCallId{++m_lastCall};
    m_calls[p.call] = number;
    m_actions.emplace_back(WriteSlot{p.call, slotKey(number, p.writingIndex),
                                     serializeSlot(p.writingSlot), p.writingSlot.version});
}

void ClaimTable::replyReceived(ClaimCallId call, const PlatformReply &reply, Time now)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    const std::uint32_t number = it->second;
    m_calls.erase(it);
    Partition &p = m_partitions.at(number);
    if (p.call != call)
        return;
    const bool wasRead = p.phase == Phase::Reading;
    switch (reply.status) {
    case PlatformStatus::Ok:
    case PlatformStatus::NotFound:
        if (wasRead) {
            loadSlots(p, reply);
            p.phase = Phase::Ready;
            if (p.inDoubt)
                resolveInDoubt(p);
        } else {
            writeSucceeded(p, reply.version);
        }
        break;
    case PlatformStatus::Conflict:
        // Another agent wrote first and the write had no effect. Read the slots and retry.
        p.phase = Phase::Unread;
        p.nextCallAt = now;
        requeue(p);
        break;
    case PlatformStatus::Unavailable:
        if (!wasRead) // the store reported that it did nothing
            requeue(p);
        p.phase = Phase::Unread;
        p.nextCallAt = now + retryInterval;
        break;
    case PlatformStatus::Indeterminate:
        p.inDoubt = p.inDoubt || !wasRead;
        p.phase = Phase::Unread;
        p.nextCallAt = now + retryInterval;
        break;
    }
    expire(p, now);
    advance(number, p, now);
}

/// Puts a batch that was not written back at the front of the queue.
void ClaimTable::requeue(Partition &p)
{
    m_pending += p.writing.size();
    p.pending.insert(p.pending.begin(), std::make_move_iterator(p.writing.begin()),
                     std::make_move_iterator(p.writing.end()));
    p.writing.clear();
}

void ClaimTable::writeSucceeded(Partition &p, ObjectVersion version)
{
    p.phase = Phase::Ready;
    p.writingSlot.version = version;
    Slot &slot = p.slots[p.writingIndex];
    const bool replaced = slot.epoch != 0 && slot.epoch != p.writingSlot.epoch;
    slot = p.writingSlot;
    if (replaced)
        rebuildOwners(p); // the claims of the overwritten slot have expired
    for (const Change &change : p.writing) {
        if (change.isRelease) {
            eraseOwner(&p.owners, change.hash, change.owner);
        } else {
            p.owners[change.hash] = change.owner;
            complete(change, ClaimResult::Granted);
        }
    }
    p.writing.clear();
}

/// Decides from the slots read after a lost reply whether the batch was written.
void ClaimTable::resolveInDoubt(Partition &p)
{
    p.inDoubt = false;
    std::vector<Change> batch = std::exchange(p.writing, {});
    for (Change &change : batch) {
        const auto it = p.owners.find(change.hash);
        const bool isOurs = it != p.owners.end() && it->second.id == change.owner.id
            && it->second.attempt == change.owner.attempt;
        if (!change.isRelease && isOurs) {
            complete(change, ClaimResult::Granted);
        } else if (!change.isRelease || isOurs) {
            ++m_pending;
            p.pending.push_front(std::move(change));
        }
    }
}

void ClaimTable::loadSlots(Partition &p, const PlatformReply &reply)
{
    p.slots.clear();
    for (const PlatformObject &object : reply.objects) {
        const auto slash = object.key.rfind('/');
        std::size_t index = 0;
        std::optional<Slot> slot = parseSlot(object.value);
        if (!slot || !parseNumber(std::string_view(object.key).substr(slash + 1), &index))
            continue;
        slot->version = object.version;
        p.slots[index] = std::move(*slot);
    }
    rebuildOwners(p);
}

void ClaimTable::rebuildOwners(Partition &p)
{
    std::map<std::uint64_t, const Slot *> byEpoch;
    for (const auto &[index, slot] : p.slots)
        byEpoch[slot.epoch] = &slot;
    p.owners.clear();
    for (const auto &[epoch, slot] : byEpoch)
        replay(slot->lines, &p.owners);
}

std::string ClaimTable::slotKey(std::uint32_t number, std::size_t index) const
{
    return fmt::format("{}{}/{}", claimsPrefix(m_target), number, index);
}

std::string ClaimTable::serializeSlot(const Slot &slot)
{
    return fmt::format("epoch {} {}\n{}", slot.epoch, slot.closedAt, slot.lines);
}

std::optional<ClaimTable::Slot> ClaimTable::parseSlot(const std::string &text)
{
    const auto end = text.find('\n');
    const auto head = splitWords(std::string_view(text).substr(0, end));
    Slot slot;
    if (end == std::string::npos || head.size() != 3 || head[0] != "epoch"
        || !parseNumber(head[1], &slot.epoch) || !parseNumber(head[2], &slot.closedAt))
        return std::nullopt;
    slot.lines = text.substr(end + 1);
    return slot;
}

/// Erases the claim of exactly this attempt. A later attempt of the same request may have claimed
/// the key through another agent since; its claim must remain.
void ClaimTable::eraseOwner(std::map<std::string, Owner> *owners, const std::string &hash,
                            const Owner &owner)
{
    const auto it = owners->find(hash);
    if (it != owners->end() && it->second.id == owner.id && it->second.attempt == owner.attempt)
        owners->erase(it);
}

void ClaimTable::replay(const std::string &lines, std::map<std::string, Owner> *owners)
{
    for (const auto part : lines | std::views::split('\n')) {
        const std::string_view line(part.begin(), part.end());
        if (line.empty())
            continue;
        const auto fields = splitWords(line.substr(1));
        Owner owner;
        if (fields.size() != 3 || !parseNumber(fields[2], &owner.attempt))
            continue;
        const auto id = parseRequestId(fields[1]);
        if (!id)
            continue;
        owner.id = *id;
        const std::string hash(fields[0]);
        if (line.front() == '+') {
            (*owners)[hash] = owner;
        } else {
            eraseOwner(owners, hash, owner);
        }
    }
}

} // namespace reachlead

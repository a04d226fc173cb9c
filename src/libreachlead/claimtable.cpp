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

constexpr Duration maxRetryBackoff = milliseconds(100); ///< after a call that found the store away

std::string hashOf(const AccountName &account, std::string_view key)
{
    std::string joined = account.text;
    joined += '\n';
    joined += key;
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

template <class T> bool readNumber(std::string_view text, T *out)
{
    const char *end = text.data() + text.size();
    const auto got = std::from_chars(text.begin(), text.end(), *out);
    return got.ec == std::errc() && got.ptr == end;
}

std::vector<std::string_view> words(std::string_view line)
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
    const std::string hash = hashOf(account, idempotencyKey);
    return static_cast<std::uint32_t>(XXH64(hash.data(), hash.size(), 0) % claimPartitionCount);
}

ClaimTable::ClaimTable(TargetName target, ClaimTuning tuning,
                       std::function<std::int64_t()> wallSeconds)
    : m_target(std::move(target)), m_tuning(tuning), m_wallSeconds(std::move(wallSeconds))
{ }

void ClaimTable::claim(const MakeClaim &claim, Time now)
{
    Change change{hashOf(claim.account, claim.idempotencyKey),
                  {claim.key.id, claim.key.attempt},
                  false,
                  now + m_tuning.wait};
    add(claimPartition(claim.account, claim.idempotencyKey), std::move(change), now);
}

void ClaimTable::release(const ReleaseClaim &release, Time now)
{
    Change change{hashOf(release.account, release.idempotencyKey),
                  {release.key.id, release.key.attempt},
                  true,
                  Time::max()};
    add(claimPartition(release.account, release.idempotencyKey), std::move(change), now);
}

void ClaimTable::add(std::uint32_t partition, Change change, Time now)
{
    if (m_waiting >= m_tuning.mostWaiting) {
        // A claim is refused as not run. A release is dropped: its key then stays claimed until
        // it expires, which refuses a repeat and never lets one run twice.
        end(change, ClaimResult::StoreDown);
        return;
    }
    ++m_waiting;
    Partition &p = m_partitions[partition];
    p.waiting.push_back(std::move(change));
    advance(partition, p, now);
}

void ClaimTable::end(const Change &change, ClaimResult result)
{
    if (!change.releases)
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

/// Refuses claims that waited too long. Those being written are looked at when the word on the
/// write is in.
void ClaimTable::expire(Partition &p, Time now)
{
    const auto over = [&](const Change &change) {
        if (change.until > now)
            return false;
        end(change, ClaimResult::StoreDown);
        return true;
    };
    m_waiting -= std::erase_if(p.waiting, over);
    if (!p.inDoubt)
        return;
    // The write may have taken effect. The calls are refused, which is true as they do not run,
    // and the keys are given back once the store can be reached.
    for (Change &change : p.writing) {
        if (!change.releases && over(change)) {
            change.releases = true;
            change.until = Time::max();
        }
    }
}

void ClaimTable::advance(std::uint32_t number, Partition &p, Time now)
{
    const bool hasWork = !p.waiting.empty() || p.inDoubt;
    if (!hasWork || now < p.nextAt)
        return;
    if (p.phase == Phase::Unread)
        read(number, p);
    else if (p.phase == Phase::Ready)
        write(number, p, now);
}

void ClaimTable::read(std::uint32_t number, Partition &p)
{
    p.phase = Phase::Reading;
    p.call = ClaimCallId{++m_lastCall};
    m_calls[p.call] = number;
    m_actions.emplace_back(ReadSlots{p.call, fmt::format("{}{}/", claimsPrefix(m_target), number)});
}

bool ClaimTable::takenByOther(const Partition &p, const Change &change) const
{
    const auto it = p.owners.find(change.hash);
    if (it == p.owners.end())
        return false;
    // The same request with a later attempt: its router has the proof that the earlier one did
    // not run.
    return it->second.id != change.owner.id || it->second.attempt > change.owner.attempt;
}

/// Finds the slot that takes the next claims, or starts the next one over the oldest.
bool ClaimTable::openSlot(Partition &p, std::size_t *place, Slot *slot) const
{
    const auto newest =
        std::ranges::max_element(p.slots, {}, [](const auto &entry) { return entry.second.epoch; });
    if (newest == p.slots.end()) {
        *place = 0;
        *slot = Slot{};
        slot->epoch = 1;
        return true;
    }
    if (newest->second.closedAt == 0) {
        *place = newest->first;
        *slot = newest->second;
        return true;
    }
    *place = (newest->first + 1) % m_tuning.slots;
    const auto oldest = p.slots.find(*place);
    const auto life = static_cast<std::int64_t>(toSeconds(m_tuning.life));
    if (oldest != p.slots.end() && m_wallSeconds() - oldest->second.closedAt < life)
        return false; // every slot holds claims that are still good
    *slot = Slot{};
    slot->version = oldest == p.slots.end() ? ObjectVersion{} : oldest->second.version;
    slot->epoch = newest->second.epoch + 1;
    return true;
}

void ClaimTable::write(std::uint32_t number, Partition &p, Time now)
{
    const bool room = openSlot(p, &p.writingPlace, &p.writingSlot);
    while (!p.waiting.empty()) {
        Change change = std::move(p.waiting.front());
        p.waiting.pop_front();
        --m_waiting;
        const bool inBatch = std::ranges::any_of(p.writing, [&](const Change &other) {
            return other.hash == change.hash && other.owner.id != change.owner.id
                && !other.releases;
        });
        if (!change.releases && (inBatch || takenByOther(p, change)))
            end(change, ClaimResult::Taken);
        else if (!room)
            end(change, ClaimResult::StoreDown);
        else
            p.writing.push_back(std::move(change));
    }
    if (p.writing.empty())
        return;
    for (const Change &change : p.writing) {
        p.writingSlot.lines += fmt::format("{}{} {} {}\n", change.releases ? '-' : '+', change.hash,
                                           toString(change.owner.id), change.owner.attempt);
    }
    if (p.writingSlot.lines.size() > m_tuning.slotBytes)
        p.writingSlot.closedAt = m_wallSeconds();
    p.phase = Phase::Writing;
    p.nextAt = now + m_tuning.spacing;
    p.call = ClaimCallId{++m_lastCall};
    m_calls[p.call] = number;
    m_actions.emplace_back(WriteSlot{p.call, slotKey(number, p.writingPlace), textOf(p.writingSlot),
                                     p.writingSlot.version});
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
            takeSlots(p, reply);
            p.phase = Phase::Ready;
            if (p.inDoubt)
                settleDoubt(p);
        } else {
            written(p, reply.version);
        }
        break;
    case PlatformStatus::Conflict:
        // Another agent wrote first; nothing of ours took effect. Read, and try again.
        p.phase = Phase::Unread;
        p.nextAt = now;
        giveBack(p);
        break;
    case PlatformStatus::Unavailable:
        if (!wasRead) // the store said that it did nothing
            giveBack(p);
        p.phase = Phase::Unread;
        p.nextAt = now + maxRetryBackoff;
        break;
    case PlatformStatus::Indeterminate:
        p.inDoubt = p.inDoubt || !wasRead;
        p.phase = Phase::Unread;
        p.nextAt = now + maxRetryBackoff;
        break;
    }
    expire(p, now);
    advance(number, p, now);
}

/// Puts a batch that was not written back in front of the line.
void ClaimTable::giveBack(Partition &p)
{
    m_waiting += p.writing.size();
    p.waiting.insert(p.waiting.begin(), std::make_move_iterator(p.writing.begin()),
                     std::make_move_iterator(p.writing.end()));
    p.writing.clear();
}

void ClaimTable::written(Partition &p, ObjectVersion version)
{
    p.phase = Phase::Ready;
    p.writingSlot.version = version;
    Slot &slot = p.slots[p.writingPlace];
    const bool replaced = slot.epoch != 0 && slot.epoch != p.writingSlot.epoch;
    slot = p.writingSlot;
    if (replaced)
        rebuildOwners(p); // the claims of the slot that was written over are gone
    for (const Change &change : p.writing) {
        if (change.releases) {
            eraseOwner(&p.owners, change.hash, change.owner);
        } else {
            p.owners[change.hash] = change.owner;
            end(change, ClaimResult::Granted);
        }
    }
    p.writing.clear();
}

/// After a lost reply: what was read back says whether the batch was written.
void ClaimTable::settleDoubt(Partition &p)
{
    p.inDoubt = false;
    std::vector<Change> batch = std::exchange(p.writing, {});
    for (Change &change : batch) {
        const auto it = p.owners.find(change.hash);
        const bool isOurs = it != p.owners.end() && it->second.id == change.owner.id
            && it->second.attempt == change.owner.attempt;
        if (!change.releases && isOurs) {
            end(change, ClaimResult::Granted);
        } else if (!change.releases || isOurs) {
            ++m_waiting;
            p.waiting.push_front(std::move(change));
        }
    }
}

void ClaimTable::takeSlots(Partition &p, const PlatformReply &reply)
{
    p.slots.clear();
    for (const PlatformObject &object : reply.objects) {
        const auto slash = object.key.rfind('/');
        std::size_t place = 0;
        std::optional<Slot> slot = parse(object.value);
        if (!slot || !readNumber(std::string_view(object.key).substr(slash + 1), &place))
            continue;
        slot->version = object.version;
        p.slots[place] = std::move(*slot);
    }
    rebuildOwners(p);
}

void ClaimTable::rebuildOwners(Partition &p)
{
    std::map<std::uint64_t, const Slot *> byEpoch;
    for (const auto &[place, slot] : p.slots)
        byEpoch[slot.epoch] = &slot;
    p.owners.clear();
    for (const auto &[epoch, slot] : byEpoch)
        replay(slot->lines, &p.owners);
}

std::string ClaimTable::slotKey(std::uint32_t number, std::size_t place) const
{
    return fmt::format("{}{}/{}", claimsPrefix(m_target), number, place);
}

std::string ClaimTable::textOf(const Slot &slot)
{
    return fmt::format("epoch {} {}\n{}", slot.epoch, slot.closedAt, slot.lines);
}

std::optional<ClaimTable::Slot> ClaimTable::parse(const std::string &text)
{
    const auto end = text.find('\n');
    const auto head = words(std::string_view(text).substr(0, end));
    Slot slot;
    if (end == std::string::npos || head.size() != 3 || head[0] != "epoch"
        || !readNumber(head[1], &slot.epoch) || !readNumber(head[2], &slot.closedAt))
        return std::nullopt;
    slot.lines = text.substr(end + 1);
    return slot;
}

/// Takes out the claim of exactly this attempt. A later attempt of the same request may hold the
/// key by now, claimed through another agent: its claim must stand.
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
        const auto fields = words(line.substr(1));
        Owner owner;
        if (fields.size() != 3 || !readNumber(fields[2], &owner.attempt))
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

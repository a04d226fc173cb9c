// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-load/policyrig_pvt.h"

#include <algorithm>

#include <fmt/format.h>

namespace reachlead::rig {

// ---- the fake platform ------------------------------------------------------------------

void Rig::claims(AgentBox &agent)
{
    for (ClaimAction &action : agent.book->takeActions()) {
        if (const auto *ended = std::get_if<ClaimCompleted>(&action)) {
            const ClaimCompleted word = *ended;
            agent.core->claimCompleted(word.key, word.result, m_now);
            drain(agent);
        } else {
            callPlatform(agent, std::move(action));
        }
    }
}

void Rig::callPlatform(AgentBox &agent, ClaimAction action)
{
    const std::uint64_t incarnation = agent.incarnation;
    later(platformFaults.delay / 2, [this, &agent, incarnation, action = std::move(action)] {
        PlatformReply reply;
        ClaimCallId call{};
        if (const auto *read = std::get_if<ReadSlots>(&action)) {
            call = read->call;
            reply = readStore(read->prefix);
        } else {
            const auto &write = std::get<WriteSlot>(action);
            call = write.call;
            reply = writeStore(write);
        }
        later(platformFaults.delay / 2, [this, &agent, incarnation, call, reply] {
            toAgent(agent, [this, &agent, incarnation, call, reply] {
                if (agent.incarnation != incarnation)
                    return;
                agent.book->replyReceived(call, reply, m_now);
                claims(agent);
            });
        });
    });
}

PlatformReply Rig::readStore(const std::string &prefix)
{
    PlatformReply reply;
    if (platformFaults.down)
        return reply;
    const bool stale = platformFaults.staleReads > 0;
    if (stale)
        --platformFaults.staleReads;
    reply.status = PlatformStatus::Ok;
    for (const auto &[key, object] : stale ? m_storeBefore : m_store) {
        if (key.starts_with(prefix))
            reply.objects.push_back(object);
    }
    return reply;
}

PlatformReply Rig::writeStore(const WriteSlot &write)
{
    PlatformReply reply;
    if (platformFaults.down)
        return reply;
    const auto it = m_store.find(write.key);
    const ObjectVersion present = it == m_store.end() ? ObjectVersion{} : it->second.version;
    if (present != write.expected) {
        reply.status = PlatformStatus::Conflict;
        return reply;
    }
    m_storeBefore = m_store;
    ++platformWrites;
    reply.version = ObjectVersion{++m_storeVersion};
    m_store[write.key] = {write.key, reply.version, write.value, false};
    reply.status = PlatformStatus::Ok;
    if (platformFaults.loseReplies > 0) {
        --platformFaults.loseReplies;
        reply = PlatformReply{};
        reply.status = PlatformStatus::Indeterminate;
    }
    return reply;
}

// ---- promises ---------------------------------------------------------------------------

std::string Rig::brokenBy(const RequestId &id, const CallerRecord &record) const
{
    const std::string who = toString(id);
    if (record.ends.size() > 1)
        return fmt::format("{}: told {} final words", who, record.ends.size());
    if (record.ends.empty() && !record.hungUp)
        return fmt::format("{} ({}, {} tokens of {}): never told a final word", who,
                           record.ask.cls.text, record.tokens, record.plan.tokens);
    const std::string expected = standin::completeText(record.plan);
    if (!expected.starts_with(record.text))
        return fmt::format("{}: got text that is not of its own answer", who);
    const auto it = starts.find(id);
    const bool started = it != starts.end() && !it->second.empty();
    if (record.ends.empty())
        return {};
    const AnswerResult &end = record.ends.front();
    if (end.kind == ErrorKind::None && record.ask.isModel && record.text != expected)
        return fmt::format("{}: told whole, but it is not", who);
    if (end.kind == ErrorKind::None && !record.ask.isModel && !record.whole)
        return fmt::format("{}: told whole without an answer", who);
    const bool ran = started
        && std::ranges::any_of(it->second, [](const UpstreamStart &start) { return start.ran; });
    if (end.outcome == Outcome::NotRun && ran)
        return fmt::format("{}: told not-run, but it ran", who);
    return {};
}

std::string Rig::brokenPromise() const
{
    constexpr Duration leavingLimit = seconds(2);
    for (const auto &[id, record] : callers) {
        std::string broken = brokenBy(id, record);
        if (!broken.empty())
            return broken;
    }
    for (const auto &[id, list] : starts) {
        const auto ran = std::ranges::count_if(list, &UpstreamStart::ran);
        if (!callers.at(id).ask.repeatable && ran > 1)
            return fmt::format("{}: not repeatable, but ran {} times", toString(id), ran);
        for (const UpstreamStart &start : list) {
            const auto drained = drainedAt.find(start.agent);
            if (drained != drainedAt.end() && start.at > drained->second + leavingLimit)
                return fmt::format("{}: new work for leaving {}", toString(id), start.agent.text);
        }
    }
    for (const auto &[key, runs] : runsByKey) {
        if (runs > 1)
            return fmt::format("key {}: ran {} times", key.second, runs);
    }
    return {};
}

// ---- requests ---------------------------------------------------------------------------

CallerRequest modelRequest(const std::string &account, const std::string &cls,
                           const std::string &model, std::uint64_t tokens, std::uint64_t salt)
{
    CallerRequest ask;
    ask.account = AccountName(account);
    ask.cls = ClassName(cls);
    ask.target = modelTarget(model);
    ask.call.method = "POST";
    ask.call.path = "/v1/chat/completions";
    ask.call.body = fmt::format("prompt {} #{}", salt, tokens);
    return ask;
}

CallerRequest serviceCall(const std::string &account, const std::string &cls,
                          const std::string &service, const std::string &key)
{
    CallerRequest ask;
    ask.account = AccountName(account);
    ask.cls = ClassName(cls);
    ask.target = serviceTarget(service);
    ask.isModel = false;
    ask.repeatable = false;
    ask.idempotencyKey = key;
    ask.call.method = "POST";
    ask.call.path = "/confirm";
    return ask;
}

} // namespace reachlead::rig

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/settingstree.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <xxhash.h>

#include <reachlead/inifile.h>

namespace reachlead {

namespace {

constexpr std::string_view classesPrefix = "classes/";
constexpr std::string_view accountsPrefix = "accounts/";
constexpr std::string_view fleetPath = "fleet";
constexpr std::size_t maxTreeDepth = 16;
/// A higher sum of floors would leave too little capacity to schedule by tier.
constexpr double maxFloorSum = 0.5;

constexpr std::int64_t maxLimit = 1'000'000'000;

std::optional<std::string> readClass(const std::string &path, const std::string &text,
                                     Policies *policies)
{
    std::string reason;
    const auto file = IniFile::parse(text, path, &reason);
    if (!file)
        return reason;
    ClassPolicy cls;
    cls.name = ClassName(path.substr(classesPrefix.size()));
    std::int64_t tier = 0;
    std::size_t late = 0;
    auto queueBound = static_cast<std::int64_t>(cls.queueBound);
    IniReader reader(*file, "");
    reader.require("tier")
        .takeInteger("tier", 0, tierCount - 1, &tier)
        .takeDuration("first_token", milliseconds(1), seconds(3600), &cls.firstTokenTarget)
        .takeDuration("inter_token", milliseconds(1), seconds(60), &cls.interTokenTarget)
        .takeDuration("deadline", milliseconds(1), seconds(86400), &cls.deadline)
        .takeEnum("late", {"deliver", "drop"}, &late)
        .takeFlag("repeatable", &cls.repeatable)
        .takeNumber("floor", 0, maxFloorSum, &cls.floor)
        .takeNumber("weight", 0.001, 1000, &cls.weight)
        .takeInteger("queue_bound", 1, 1'000'000, &queueBound);
    cls.tier = static_cast<Tier>(tier);
    cls.late = static_cast<LatePolicy>(late);
    cls.queueBound = static_cast<std::size_t>(queueBound);
    policies->classes.emplace(cls.name, cls);
    return reader.finish();
}

std::optional<std::string> readLimits(IniReader &reader, AccountLimits *limits)
{
    std::int64_t concurrency = 0;
    std::int64_t connections = 0;
    double rate = 0;
    double share = 0;
    reader.takeInteger("concurrency", 1, maxLimit, &concurrency)
        .takeInteger("connections", 1, maxLimit, &connections)
        .takeNumber("tokens_per_second", 0.001, 1e12, &rate)
        .takeNumber("queue_share", 0.0001, 1, &share);
    if (reader.has("concurrency"))
        limits->concurrency = concurrency;
    if (reader.has("connections"))
        limits->connections = connections;
    if (reader.has("tokens_per_second"))
        limits->tokensPerSecond = rate;
    if (reader.has("queue_share"))
        limits->queueShare = share;
    return reader.finish();
}

std::optional<std::string> readAccount(const std::string &path, const std::string &text,
                                       Policies *policies)
{
    std::string reason;
    const auto file = IniFile::parse(text, path, &reason);
    if (!file)
        return reason;
    AccountPolicy account;
    account.name = AccountName(path.substr(accountsPrefix.size()));
    std::string defaultClass;
    std::vector<std::string> classes;
    std::vector<std::string> targets;
    IniReader reader(*file, "");
    reader.takeText("parent", &account.parent.text)
        .takeText("key_salt", &account.keySalt)
        .takeText("key_sha256", &account.keyHash)
        .takeText("default_class", &defaultClass)
        .takeList("classes", &classes)
        .takeList("targets", &targets);
    account.defaultClass = ClassName(defaultClass);
    std::ranges::transform(classes, std::back_inserter(account.classes),
                           [](const std::string &s) { return ClassName(s); });
    std::ranges::transform(targets, std::back_inserter(account.targets),
                           [](const std::string &s) { return TargetName(s); });
    const auto error = readLimits(reader, &account.limits);
    policies->accounts.emplace(account.name, std::move(account));
    return error;
}

std::optional<std::string> readFleet(const std::string &path, const std::string &text,
                                     Policies *policies)
{
    std::string reason;
    const auto file = IniFile::parse(text, path, &reason);
    if (!file)
        return reason;
    auto queueLimit = static_cast<std::int64_t>(policies->queueLimit);
    IniReader reader(*file, "");
    reader.takeInteger("queue_limit", 1, 10'000'000, &queueLimit);
    policies->queueLimit = static_cast<std::size_t>(queueLimit);
    return reader.finish();
}

std::optional<std::string> readNode(const std::string &path, const std::string &text,
                                    Policies *policies)
{
    if (text.size() > maxNodeBytes)
        return fmt::format("{}: {} bytes, expected at most {}", path, text.size(), maxNodeBytes);
    if (path.starts_with(classesPrefix) && path.size() > classesPrefix.size())
        return readClass(path, text, policies);
    if (path.starts_with(accountsPrefix) && path.size() > accountsPrefix.size())
        return readAccount(path, text, policies);
    if (path == fleetPath)
        return readFleet(path, text, policies);
    return fmt::format("{}: expected classes/NAME, accounts/NAME or fleet", path);
}

/// Collects the account and its ancestors, nearest first. A cycle or a missing parent is an error.
std::optional<std::string> collectAncestors(const Policies &policies, const AccountPolicy &account,
                                            std::vector<const AccountPolicy *> *chain)
{
    const AccountPolicy *it = &account;
    while (it) {
        chain->push_back(it);
        if (chain->size() > maxTreeDepth)
            return fmt::format("accounts/{}: key 'parent': expected a chain of at most {} accounts "
                               "without a cycle",
                               account.name.text, maxTreeDepth);
        if (it->parent.empty())
            return std::nullopt;
        const AccountPolicy *parent = policies.findAccount(it->parent);
        if (!parent)
            return fmt::format("accounts/{}: key 'parent': expected an account, found '{}'",
                               it->name.text, it->parent.text);
        it = parent;
    }
    return std::nullopt;
}

template <class T>
std::optional<std::string> checkLimit(const AccountPolicy &child, const AccountPolicy &parent,
                                      std::string_view key, std::optional<T> AccountLimits::*limit)
{
    const std::optional<T> &childLimit = child.limits.*limit;
    const std::optional<T> &parentLimit = parent.limits.*limit;
    if (!childLimit || !parentLimit || *childLimit <= *parentLimit)
        return std::nullopt;
    return fmt::format("accounts/{}: key '{}': expected at most {} as set by accounts/{}, found {}",
                       child.name.text, key, *parentLimit, parent.name.text, *childLimit);
}

std::optional<std::string> checkLimits(const AccountPolicy &child, const AccountPolicy &parent)
{
    if (auto error = checkLimit(child, parent, "concurrency", &AccountLimits::concurrency))
        return error;
    if (auto error =
            checkLimit(child, parent, "tokens_per_second", &AccountLimits::tokensPerSecond))
        return error;
    return checkLimit(child, parent, "queue_share", &AccountLimits::queueShare);
}

/// Fills in inherited fields. Limits are not inherited, as the limiter checks each ancestor's.
void inherit(AccountPolicy &account, const std::vector<const AccountPolicy *> &chain)
{
    for (const AccountPolicy *ancestor : chain) {
        if (account.defaultClass.empty())
            account.defaultClass = ancestor->defaultClass;
        if (account.classes.empty())
            account.classes = ancestor->classes;
        if (account.targets.empty())
            account.targets = ancestor->targets;
    }
}

std::optional<std::string> checkAccount(const Policies &policies, const AccountPolicy &account)
{
    for (const ClassName &name : account.classes) {
        if (!policies.findClass(name))
            return fmt::format("accounts/{}: key 'classes': expected a class, found '{}'",
                               account.name.text, name.text);
    }
    if (!account.defaultClass.empty() && !policies.findClass(account.defaultClass))
        return fmt::format("accounts/{}: key 'default_class': expected a class, found '{}'",
                           account.name.text, account.defaultClass.text);
    return std::nullopt;
}

std::optional<std::string> checkFloors(const Policies &policies)
{
    double sum = 0;
    for (const auto &[name, cls] : policies.classes)
        sum += cls.floor;
    if (sum <= maxFloorSum)
        return std::nullopt;
    return fmt::format("classes: key 'floor': expected a sum of at most {}, found {}", maxFloorSum,
                       sum);
}

std::optional<std::string> finishTree(Policies *policies)
{
    if (auto error = checkFloors(*policies))
        return error;
    const Policies unresolved = *policies;
    for (auto &[name, account] : policies->accounts) {
        std::vector<const AccountPolicy *> chain;
        const AccountPolicy &unresolvedAccount = unresolved.accounts.at(name);
        if (auto error = collectAncestors(unresolved, unresolvedAccount, &chain))
            return error;
        for (const AccountPolicy *ancestor : chain) {
            if (auto error = checkLimits(unresolvedAccount, *ancestor))
                return error;
        }
        inherit(account, chain);
        if (auto error = checkAccount(*policies, account))
            return error;
    }
    return std::nullopt;
}

std::uint64_t objectDigest(const PlatformObject &object)
{
    const auto version = static_cast<std::uint64_t>(object.version);
    return XXH64(object.key.data(), object.key.size(), version);
}

} // namespace

std::optional<Policies> buildPolicies(const SettingsTexts &texts, std::string *reason)
{
    Policies policies;
    for (const auto &[path, text] : texts) {
        if (const auto error = readNode(path, text, &policies)) {
            *reason = *error;
            return std::nullopt;
        }
    }
    if (const auto error = finishTree(&policies)) {
        *reason = *error;
        return std::nullopt;
    }
    return policies;
}

bool SettingsReplica::apply(const PlatformObject &object)
{
    const auto it = m_objects.find(object.key);
    if (it != m_objects.end()) {
        if (it->second.version >= object.version)
            return false;
        m_digest ^= objectDigest(it->second);
    }
    m_objects[object.key] = object;
    m_digest ^= objectDigest(object);
    m_version = std::max(m_version, object.version);
    return true;
}

void SettingsReplica::applyList(const std::vector<PlatformObject> &objects,
                                ObjectVersion storeVersion)
{
    std::set<std::string> listed;
    for (const PlatformObject &object : objects) {
        listed.insert(object.key);
        apply(object);
    }
    for (const PlatformObject &held : this->objects()) {
        if (!held.deleted && !listed.contains(held.key) && held.version < storeVersion)
            apply({held.key, storeVersion, "", true});
    }
    m_version = std::max(m_version, storeVersion);
}

void SettingsReplica::rebuild()
{
    std::string reason;
    auto built = buildPolicies(texts(), &reason);
    m_reason = reason;
    if (built)
        m_policies = std::make_shared<const Policies>(std::move(*built));
}

SettingsTexts SettingsReplica::texts() const
{
    SettingsTexts texts;
    for (const auto &[key, object] : m_objects) {
        if (!object.deleted && key.starts_with(settingsPrefix))
            texts[key.substr(settingsPrefix.size())] = object.value;
    }
    return texts;
}

std::vector<PlatformObject> SettingsReplica::objects() const
{
    std::vector<PlatformObject> all;
    all.reserve(m_objects.size());
    for (const auto &[key, object] : m_objects)
        all.push_back(object);
    return all;
}

} // namespace reachlead

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
constexpr std::size_t deepestTree = 16;
/// Above this sum the floors would leave too little to order by tier.
constexpr double mostFloors = 0.5;

constexpr std::int64_t most = 1'000'000'000;

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
        .takeNumber("floor", 0, mostFloors, &cls.floor)
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
    reader.takeInteger("concurrency", 1, most, &concurrency)
        .takeInteger("connections", 1, most, &connections)
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
    const auto fault = readLimits(reader, &account.limits);
    policies->accounts.emplace(account.name, std::move(account));
    return fault;
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

/// The account and its ancestors, nearest first; a fault where the line has no end.
std::optional<std::string> lineOf(const Policies &policies, const AccountPolicy &account,
                                  std::vector<const AccountPolicy *> *line)
{
    const AccountPolicy *it = &account;
    while (it) {
        line->push_back(it);
        if (line->size() > deepestTree)
            return fmt::format("accounts/{}: key 'parent': expected a line of at most {} accounts "
                               "without a cycle",
                               account.name.text, deepestTree);
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
std::optional<std::string> checkBelow(const AccountPolicy &child, const AccountPolicy &parent,
                                      std::string_view key, std::optional<T> AccountLimits::*limit)
{
    const std::optional<T> &mine = child.limits.*limit;
    const std::optional<T> &theirs = parent.limits.*limit;
    if (!mine || !theirs || *mine <= *theirs)
        return std::nullopt;
    return fmt::format("accounts/{}: key '{}': expected at most {} as set by accounts/{}, found {}",
                       child.name.text, key, *theirs, parent.name.text, *mine);
}

std::optional<std::string> checkLimits(const AccountPolicy &child, const AccountPolicy &parent)
{
    if (auto fault = checkBelow(child, parent, "concurrency", &AccountLimits::concurrency))
        return fault;
    if (auto fault =
            checkBelow(child, parent, "tokens_per_second", &AccountLimits::tokensPerSecond))
        return fault;
    return checkBelow(child, parent, "queue_share", &AccountLimits::queueShare);
}

/// Fills in what an account inherits. Limits stay where they are set: the limiter walks the line.
void inherit(AccountPolicy &account, const std::vector<const AccountPolicy *> &line)
{
    for (const AccountPolicy *ancestor : line) {
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
    if (sum <= mostFloors)
        return std::nullopt;
    return fmt::format("classes: key 'floor': expected a sum of at most {}, found {}", mostFloors,
                       sum);
}

std::optional<std::string> finishTree(Policies *policies)
{
    if (auto fault = checkFloors(*policies))
        return fault;
    const Policies asWritten = *policies;
    for (auto &[name, account] : policies->accounts) {
        std::vector<const AccountPolicy *> line;
        const AccountPolicy &own = asWritten.accounts.at(name);
        if (auto fault = lineOf(asWritten, own, &line))
            return fault;
        for (const AccountPolicy *ancestor : line) {
            if (auto fault = checkLimits(own, *ancestor))
                return fault;
        }
        inherit(account, line);
        if (auto fault = checkAccount(*policies, account))
            return fault;
    }
    return std::nullopt;
}

std::uint64_t computeDigest(const PlatformObject &object)
{
    const auto version = static_cast<std::uint64_t>(object.version);
    return XXH64(object.key.data(), object.key.size(), version);
}

} // namespace

std::optional<Policies> buildPolicies(const SettingsTexts &texts, std::string *reason)
{
    Policies policies;
    for (const auto &[path, text] : texts) {
        if (const auto fault = readNode(path, text, &policies)) {
            *reason = *fault;
            return std::nullopt;
        }
    }
    if (const auto fault = finishTree(&policies)) {
        *reason = *fault;
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
        m_digest ^= computeDigest(it->second);
    }
    m_objects[object.key] = object;
    m_digest ^= computeDigest(object);
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

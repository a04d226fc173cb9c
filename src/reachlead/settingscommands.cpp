// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <filesystem>
#include <fstream>
#include <iostream>
#include <ranges>
#include <sstream>

#include <fmt/format.h>

#include <reachlead/apikey.h>
#include <reachlead/settingstree.h>

#include "commandline.h"
#include "objectapi/httpplatform.h"

namespace reachlead::cli {

namespace {

constexpr Duration callLimit = seconds(3);

/// The tree as the platform holds it.
struct Tree
{
    bool known = false;
    std::map<std::string, PlatformObject> nodes; ///< by path

    SettingsTexts texts() const
    {
        SettingsTexts texts;
        for (const auto &[path, object] : nodes)
            texts[path] = object.value;
        return texts;
    }

    ObjectVersion versionOf(const std::string &path) const
    {
        const auto it = nodes.find(path);
        return it == nodes.end() ? ObjectVersion{} : it->second.version;
    }
};

Counters &ownCounters()
{
    static Counters counters;
    return counters;
}

HttpPlatform platformOf(const Context &context)
{
    return {context.fleet.platform, callLimit, &ownCounters()};
}

Tree readTree(const Context &context)
{
    HttpPlatform platform = platformOf(context);
    const PlatformReply reply = await(platform.list(std::string(settingsPrefix)));
    Tree tree;
    tree.known = reply.ok();
    for (const PlatformObject &object : reply.objects)
        tree.nodes[object.key.substr(settingsPrefix.size())] = object;
    if (!tree.known)
        std::cerr << "the platform does not answer: " << reply.reason << "\n";
    return tree;
}

std::optional<std::string> readText(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    text << in.rdbuf();
    return text.str();
}

/// A change id inside the text lets a writer whose reply was lost know its own change again.
std::string withChangeId(const Context &context, const std::string &text, std::string *id)
{
    constexpr std::size_t idBytes = 8;
    constexpr std::string_view mark = "# change ";
    *id = randomHex(idBytes);
    std::string body = text;
    if (body.starts_with(mark))
        body.erase(0, body.find('\n') + 1);
    return fmt::format("{}{} by {}\n{}", mark, *id, context.fleet.who, body);
}

void showDifference(const std::string &mine, const std::string &theirs)
{
    const auto lines = [](const std::string &text) {
        std::vector<std::string> list;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);)
            list.push_back(line);
        return list;
    };
    const auto showMissing = [](const auto &from, const auto &in, char sign) {
        for (const std::string &line : from) {
            if (std::ranges::find(in, line) == in.end())
                std::cerr << sign << " " << line << "\n";
        }
    };
    const auto old = lines(theirs);
    const auto fresh = lines(mine);
    showMissing(old, fresh, '-');
    showMissing(fresh, old, '+');
}

bool isValid(const SettingsTexts &texts)
{
    std::string reason;
    if (buildPolicies(texts, &reason))
        return true;
    std::cerr << "not valid, nothing was written: " << reason << "\n";
    return false;
}

/// After a lost reply: reads the object and looks for the own change id.
Exit findOut(HttpPlatform &platform, const std::string &key, const std::string &id,
             ObjectVersion *version)
{
    const PlatformReply reply = await(platform.get(key));
    if (reply.ok() && !reply.objects.empty()
        && reply.objects.front().value.find(id) != std::string::npos) {
        *version = reply.objects.front().version;
        return Exit::Good;
    }
    std::cerr
        << (reply.ok() || reply.status == PlatformStatus::NotFound
                ? "the write did not take effect; try again\n"
                : "it cannot be known whether the write took effect; read before you retry\n");
    return Exit::PlatformAway;
}

Exit writeNode(const Context &context, const std::string &path, const std::string &text,
               ObjectVersion expected, ObjectVersion *version)
{
    HttpPlatform platform = platformOf(context);
    const std::string key = std::string(settingsPrefix) + path;
    std::string id;
    const std::string body = withChangeId(context, text, &id);
    const PlatformReply reply = await(platform.put(key, body, expected));
    switch (reply.status) {
    case PlatformStatus::Ok:
        *version = reply.version;
        return Exit::Good;
    case PlatformStatus::Conflict: {
        const std::string theirs = reply.objects.empty() ? "" : reply.objects.front().value;
        std::cerr << fmt::format("conflict at {}: you expected version {}, it stands at {}\n", path,
                                 static_cast<std::uint64_t>(expected),
                                 static_cast<std::uint64_t>(reply.version));
        showDifference(body, theirs);
        return Exit::Conflict;
    }
    case PlatformStatus::Indeterminate:
        return findOut(platform, key, id, version);
    case PlatformStatus::NotFound:
    case PlatformStatus::Unavailable:
        break;
    }
    std::cerr << "the platform does not answer, nothing was written: " << reply.reason << "\n";
    return Exit::PlatformAway;
}

Exit setOne(const Context &context, const std::string &path, const std::string &text)
{
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    SettingsTexts texts = tree.texts();
    texts[path] = text;
    if (!isValid(texts))
        return Exit::NotValid;
    const ObjectVersion expected =
        context.expected ? ObjectVersion{*context.expected} : tree.versionOf(path);
    ObjectVersion version{};
    const Exit exit = writeNode(context, path, text, expected, &version);
    if (exit != Exit::Good)
        return exit;
    std::cout << fmt::format("{} written at version {}\n", path,
                             static_cast<std::uint64_t>(version));
    return waitInForce(context, version);
}

/// The files of a folder as paths of the tree.
SettingsTexts readFolder(const std::string &folder)
{
    namespace fs = std::filesystem;
    SettingsTexts texts;
    for (const auto &entry : fs::recursive_directory_iterator(folder)) {
        if (!entry.is_regular_file())
            continue;
        const std::string path = fs::relative(entry.path(), folder).generic_string();
        texts[path] = readText(entry.path().string()).value_or("");
    }
    return texts;
}

std::string withoutChangeId(const std::string &text)
{
    return text.starts_with("# change ") ? text.substr(text.find('\n') + 1) : text;
}

bool needsWords(const Context &context, std::size_t n, std::string_view usage)
{
    if (context.words.size() == n)
        return true;
    std::cerr << "usage: reachlead " << usage << "\n";
    return false;
}

} // namespace

Exit settingsGet(const Context &context)
{
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    if (context.words.empty()) {
        for (const auto &[path, object] : tree.nodes)
            std::cout << fmt::format("{:>8}  {}\n", static_cast<std::uint64_t>(object.version),
                                     path);
        return Exit::Good;
    }
    const auto it = tree.nodes.find(context.words.front());
    if (it == tree.nodes.end()) {
        std::cerr << "no such node: " << context.words.front() << "\n";
        return Exit::Failed;
    }
    std::cerr << "version " << static_cast<std::uint64_t>(it->second.version) << "\n";
    std::cout << it->second.value;
    return Exit::Good;
}

Exit settingsSet(const Context &context)
{
    if (!needsWords(context, 2, "settings set PATH FILE"))
        return Exit::BadUsage;
    const std::optional<std::string> text = readText(context.words[1]);
    if (!text) {
        std::cerr << "cannot be read: " << context.words[1] << "\n";
        return Exit::Failed;
    }
    return setOne(context, context.words[0], *text);
}

Exit settingsDelete(const Context &context)
{
    if (!needsWords(context, 1, "settings delete PATH"))
        return Exit::BadUsage;
    const std::string &path = context.words.front();
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    SettingsTexts texts = tree.texts();
    if (texts.erase(path) == 0) {
        std::cerr << "no such node: " << path << "\n";
        return Exit::Failed;
    }
    if (!isValid(texts))
        return Exit::NotValid;
    HttpPlatform platform = platformOf(context);
    const ObjectVersion expected =
        context.expected ? ObjectVersion{*context.expected} : tree.versionOf(path);
    const PlatformReply reply =
        await(platform.remove(std::string(settingsPrefix) + path, expected));
    if (reply.status == PlatformStatus::Conflict) {
        std::cerr << "conflict: somebody changed " << path << "\n";
        return Exit::Conflict;
    }
    if (!reply.ok()) {
        std::cerr << "the platform does not answer: " << reply.reason << "\n";
        return Exit::PlatformAway;
    }
    return waitInForce(context, reply.version);
}

Exit settingsApply(const Context &context)
{
    if (!needsWords(context, 1, "settings apply FOLDER"))
        return Exit::BadUsage;
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    const SettingsTexts wanted = readFolder(context.words.front());
    SettingsTexts texts = tree.texts();
    for (const auto &[path, text] : wanted)
        texts[path] = text;
    if (!isValid(texts))
        return Exit::NotValid;
    // Classes go first: accounts name them.
    std::vector<std::string> order;
    order.reserve(wanted.size());
    for (const auto &[path, text] : wanted)
        order.push_back(path);
    std::ranges::sort(order, {}, [](const std::string &path) {
        return std::pair(path.starts_with("accounts/"), path);
    });
    ObjectVersion version{};
    unsigned changed = 0;
    for (const std::string &path : order) {
        const auto it = tree.nodes.find(path);
        if (it != tree.nodes.end()
            && withoutChangeId(it->second.value) == withoutChangeId(wanted.at(path)))
            continue;
        const Exit exit = writeNode(context, path, wanted.at(path), tree.versionOf(path), &version);
        if (exit != Exit::Good)
            return exit;
        ++changed;
    }
    std::cout << fmt::format("{} of {} nodes written\n", changed, wanted.size());
    return changed == 0 ? Exit::Good : waitInForce(context, version);
}

Exit settingsDiff(const Context &context)
{
    if (!needsWords(context, 1, "settings diff FOLDER"))
        return Exit::BadUsage;
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    bool differs = false;
    for (const auto &[path, text] : readFolder(context.words.front())) {
        const auto it = tree.nodes.find(path);
        const std::string present = it == tree.nodes.end() ? "" : it->second.value;
        if (withoutChangeId(present) == withoutChangeId(text))
            continue;
        differs = true;
        std::cerr << path << ":\n";
        showDifference(withoutChangeId(text), withoutChangeId(present));
    }
    return differs ? Exit::Failed : Exit::Good;
}

Exit settingsExport(const Context &context)
{
    namespace fs = std::filesystem;
    if (!needsWords(context, 1, "settings export FOLDER"))
        return Exit::BadUsage;
    const Tree tree = readTree(context);
    if (!tree.known)
        return Exit::PlatformAway;
    for (const auto &[path, object] : tree.nodes) {
        const fs::path file = fs::path(context.words.front()) / path;
        fs::create_directories(file.parent_path());
        std::ofstream(file, std::ios::binary) << withoutChangeId(object.value);
    }
    std::cout << fmt::format("{} nodes\n", tree.nodes.size());
    return Exit::Good;
}

Exit settingsExplain(const Context &context)
{
    if (!needsWords(context, 1, "settings explain ACCOUNT"))
        return Exit::BadUsage;
    const Tree tree = readTree(context);
    std::string reason;
    const auto policies = buildPolicies(tree.texts(), &reason);
    if (!policies) {
        std::cerr << "the tree is not valid: " << reason << "\n";
        return Exit::NotValid;
    }
    const AccountPolicy *account = policies->findAccount(AccountName(context.words.front()));
    if (!account) {
        std::cerr << "no such account: " << context.words.front() << "\n";
        return Exit::Failed;
    }
    std::cout << fmt::format("default_class = {}\n", account->defaultClass.text);
    for (const AccountPolicy *it = account; it; it = policies->findAccount(it->parent)) {
        const AccountLimits &limits = it->limits;
        if (limits.concurrency)
            std::cout << fmt::format("concurrency <= {}  (accounts/{})\n", *limits.concurrency,
                                     it->name.text);
        if (limits.tokensPerSecond)
            std::cout << fmt::format("tokens_per_second <= {}  (accounts/{})\n",
                                     *limits.tokensPerSecond, it->name.text);
        if (limits.queueShare)
            std::cout << fmt::format("queue_share <= {}  (accounts/{})\n", *limits.queueShare,
                                     it->name.text);
    }
    return Exit::Good;
}

Exit accountCreate(const Context &context)
{
    if (!needsWords(context, 1, "account create NAME [--parent NAME]"))
        return Exit::BadUsage;
    constexpr std::size_t saltBytes = 8;
    constexpr std::size_t secretBytes = 24;
    const std::string &name = context.words.front();
    const std::string salt = randomHex(saltBytes);
    const std::string secret = randomHex(secretBytes);
    std::string text;
    if (!context.parent.empty())
        text += fmt::format("parent = {}\n", context.parent);
    text += fmt::format("key_salt = {}\nkey_sha256 = {}\n", salt, hashSecret(salt, secret));
    Context create = context;
    create.expected = 0;
    const Exit exit = setOne(create, "accounts/" + name, text);
    if (exit == Exit::Good || exit == Exit::NotInForce)
        std::cout << fmt::format("key {}:{}\n", name, secret); // shown once, kept nowhere
    return exit;
}

} // namespace reachlead::cli

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "caller/callerconnection.h"

#include <algorithm>

#include <reachlead/apikey.h>

#include "caller/callerserver.h"
#include "caller/headers.h"

namespace reachlead {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view classHeader = "Reachlead-Class";
constexpr std::string_view repeatableHeader = "Reachlead-Repeatable";
constexpr std::string_view keyHeader = "Idempotency-Key";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr std::size_t longestIdempotencyKey = 256;

std::string_view headerOf(const http::fields &fields, std::string_view name)
{
    return toStringView(fields[beast::string_view(name.data(), name.size())]);
}

} // namespace

CallerConnection::Refusal CallerConnection::admit(const Request &request, Exchange *exchange)
{
    const PoliciesPtr policies = m_server.policies();
    if (!policies)
        return {ErrorKind::SettingsAbsent, ""};
    if (request.version() != 11)
        return {ErrorKind::BadRequest, "HTTP/1.1 is required"};
    const AccountPolicy *account = nullptr;
    if (Refusal refusal = identify(request, exchange, *policies, &account);
        refusal.kind != ErrorKind::None)
        return refusal;
    if (Refusal refusal = readTarget(request, exchange); refusal.kind != ErrorKind::None)
        return refusal;
    const auto &allowed = account->targets;
    if (!allowed.empty() && std::ranges::find(allowed, exchange->ask.target) == allowed.end())
        return {ErrorKind::NotAllowed, exchange->ask.target.text};
    if (Refusal refusal = readClass(request, exchange, *policies, *account);
        refusal.kind != ErrorKind::None)
        return refusal;
    const std::string_view key = headerOf(request, keyHeader);
    if (key.size() > longestIdempotencyKey)
        return {ErrorKind::BadRequest, "Idempotency-Key is longer than 256 bytes"};
    exchange->ask.idempotencyKey = key;
    exchange->keepAlive = request.keep_alive();
    return {};
}

CallerConnection::Refusal CallerConnection::identify(const Request &request, Exchange *exchange,
                                                     const Policies &policies,
                                                     const AccountPolicy **account)
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view key = headerOf(request, "Authorization");
    if (!key.starts_with(scheme))
        return {ErrorKind::KeyMissing, "expected Authorization: Bearer ACCOUNT:SECRET"};
    key.remove_prefix(scheme.size());
    *account = findAccountByKey(policies, key);
    if (!*account)
        return {ErrorKind::KeyUnknown, ""};
    if (!countConnection(**account))
        return {ErrorKind::AccountConnections, ""};
    exchange->ask.account = (*account)->name;
    return {};
}

bool CallerConnection::countConnection(const AccountPolicy &account)
{
    if (m_countedFor == account.name)
        return true;
    std::int64_t &count = m_server.m_accountConnections[account.name];
    if (account.limits.connections && count >= *account.limits.connections)
        return false;
    if (!m_countedFor.empty())
        --m_server.m_accountConnections[m_countedFor];
    ++count;
    m_countedFor = account.name;
    return true;
}

CallerConnection::Refusal CallerConnection::readTarget(const Request &request, Exchange *exchange)
{
    const std::string_view path = toStringView(request.target());
    CallerRequest &ask = exchange->ask;
    ask.call.method = toStringView(request.method_string());
    ask.call.body = request.body();
    const bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (request.method() != http::verb::post)
            return {ErrorKind::MethodNotAllowed, "expected POST"};
        exchange->completion = chat ? CompletionKind::Chat : CompletionKind::Text;
        std::string reason;
        auto parsed = parseCompletionRequest(ask.call.body, *exchange->completion, &reason);
        if (!parsed)
            return {ErrorKind::BadRequest, reason};
        ask.target = modelTarget(parsed->model);
        ask.call.path = path;
        ask.prefixHash = parsed->prefixHash;
        exchange->stream = parsed->stream;
        exchange->model = std::move(parsed->model);
    } else if (path.starts_with(servicesPath)) {
        const std::string_view rest = path.substr(servicesPath.size());
        const auto slash = std::min(rest.find('/'), rest.find('?'));
        const std::string_view name = rest.substr(0, slash);
        if (name.empty())
            return {ErrorKind::PathUnknown, std::string(path)};
        ask.isModel = false;
        ask.target = serviceTarget(name);
        ask.call.path = slash == std::string_view::npos ? "/" : rest.substr(slash);
        if (ask.call.path.front() != '/')
            ask.call.path.insert(0, "/");
        for (const auto &field : request) {
            if (!isStrippedHeader(toStringView(field.name_string())))
                ask.call.headers.push_back(
                    {std::string(field.name_string()), std::string(field.value())});
        }
    } else {
        return {ErrorKind::PathUnknown, std::string(path)};
    }
    const std::vector<TargetName> known = m_server.targets();
    if (std::ranges::find(known, ask.target) == known.end())
        return {ErrorKind::TargetUnknown, ask.target.text};
    return {};
}

CallerConnection::Refusal CallerConnection::readClass(const Request &request, Exchange *exchange,
                                                      const Policies &policies,
                                                      const AccountPolicy &account)
{
    const std::string_view wanted = headerOf(request, classHeader);
    const ClassName name = wanted.empty() ? account.defaultClass : ClassName(std::string(wanted));
    const ClassPolicy *cls = policies.findClass(name);
    if (!cls)
        return {ErrorKind::ClassUnknown, name.text};
    const auto &allowed = account.classes;
    if (!allowed.empty() && std::ranges::find(allowed, name) == allowed.end())
        return {ErrorKind::NotAllowed, name.text};
    exchange->ask.cls = name;
    exchange->tier = cls->tier;
    const std::string_view said = headerOf(request, repeatableHeader);
    const bool safeMethod =
        request.method() == http::verb::get || request.method() == http::verb::head;
    const bool byDefault = cls->repeatable && (exchange->ask.isModel || safeMethod);
    if (!said.empty() && said != "yes" && said != "no")
        return {ErrorKind::BadRequest, "Reachlead-Repeatable: expected yes or no"};
    exchange->ask.repeatable = said.empty() ? byDefault : said == "yes";
    if (!headerOf(request, keyHeader).empty())
        exchange->ask.repeatable = false; // who gives a key asks for at most one run
    return {};
}

} // namespace reachlead

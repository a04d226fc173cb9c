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
constexpr std::size_t maxIdempotencyKeyBytes = 256;

std::string_view headerValue(const http::fields &fields, std::string_view name)
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
    if (Refusal refusal = authenticate(request, exchange, *policies, &account);
        refusal.kind != ErrorKind::None)
        return refusal;
    if (Refusal refusal = readTarget(request, exchange); refusal.kind != ErrorKind::None)
        return refusal;
    const auto &allowed = account->targets;
    if (!allowed.empty()
        && std::ranges::find(allowed, exchange->callerRequest.target) == allowed.end())
        return {ErrorKind::NotAllowed, exchange->callerRequest.target.text};
    if (Refusal refusal = readClass(request, exchange, *policies, *account);
        refusal.kind != ErrorKind::None)
        return refusal;
    const std::string_view key = headerValue(request, keyHeader);
    if (key.size() > maxIdempotencyKeyBytes)
        return {ErrorKind::BadRequest, "Idempotency-Key is longer than 256 bytes"};
    exchange->callerRequest.idempotencyKey = key;
    exchange->keepAlive = request.keep_alive();
    return {};
}

CallerConnection::Refusal CallerConnection::authenticate(const Request &request, Exchange *exchange,
                                                         const Policies &policies,
                                                         const AccountPolicy **account)
{
    const std::string_view key = bearerKey(request);
    if (key.empty())
        return {ErrorKind::KeyMissing, "expected Authorization: Bearer ACCOUNT:SECRET"};
    *account = findAccountByKey(policies, key);
    if (!*account)
        return {ErrorKind::KeyUnknown, ""};
    if (!countConnection(**account))
        return {ErrorKind::AccountConnections, ""};
    exchange->callerRequest.account = (*account)->name;
    return {};
}

bool CallerConnection::countConnection(const AccountPolicy &account)
{
    if (m_countedAccount == account.name)
        return true;
    std::int64_t &count = m_server.m_accountConnections[account.name];
    if (account.limits.connections && count >= *account.limits.connections)
        return false;
    if (!m_countedAccount.empty())
        --m_server.m_accountConnections[m_countedAccount];
    ++count;
    m_countedAccount = account.name;
    return true;
}

CallerConnection::Refusal CallerConnection::readTarget(const Request &request, Exchange *exchange)
{
    const std::string_view path = toStringView(request.target());
    CallerRequest &callerRequest = exchange->callerRequest;
    callerRequest.call.method = toStringView(request.method_string());
    callerRequest.call.body = request.body();
    const bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (request.method() != http::verb::post)
            return {ErrorKind::MethodNotAllowed, "expected POST"};
        exchange->completion = chat ? CompletionKind::Chat : CompletionKind::Text;
        std::string reason;
        auto parsed =
            parseCompletionRequest(callerRequest.call.body, *exchange->completion, &reason);
        if (!parsed)
            return {ErrorKind::BadRequest, reason};
        callerRequest.target = modelTarget(parsed->model);
        callerRequest.call.path = path;
        callerRequest.prefixHash = parsed->prefixHash;
        exchange->stream = parsed->stream;
        exchange->model = std::move(parsed->model);
    } else if (path.starts_with(servicesPath)) {
        const std::string_view rest = path.substr(servicesPath.size());
        const auto slash = std::min(rest.find('/'), rest.find('?'));
        const std::string_view name = rest.substr(0, slash);
        if (name.empty())
            return {ErrorKind::PathUnknown, std::string(path)};
        callerRequest.isModel = false;
        callerRequest.target = serviceTarget(name);
        callerRequest.call.path = slash == std::string_view::npos ? "/" : rest.substr(slash);
        if (callerRequest.call.path.front() != '/')
            callerRequest.call.path.insert(0, "/");
        for (const auto &field : request) {
            if (!isStrippedHeader(toStringView(field.name_string())))
                callerRequest.call.headers.push_back(
                    {std::string(field.name_string()), std::string(field.value())});
        }
    } else {
        return {ErrorKind::PathUnknown, std::string(path)};
    }
    const std::vector<TargetName> known = m_server.targets();
    if (std::ranges::find(known, callerRequest.target) == known.end())
        return {ErrorKind::TargetUnknown, callerRequest.target.text};
    return {};
}

CallerConnection::Refusal CallerConnection::readClass(const Request &request, Exchange *exchange,
                                                      const Policies &policies,
                                                      const AccountPolicy &account)
{
    const std::string_view requested = headerValue(request, classHeader);
    const ClassName name =
        requested.empty() ? account.defaultClass : ClassName(std::string(requested));
    const ClassPolicy *cls = policies.findClass(name);
    if (!cls)
        return {ErrorKind::ClassUnknown, name.text};
    const auto &allowed = account.classes;
    if (!allowed.empty() && std::ranges::find(allowed, name) == allowed.end())
        return {ErrorKind::NotAllowed, name.text};
    exchange->callerRequest.cls = name;
    exchange->tier = cls->tier;
    const std::string_view repeatable = headerValue(request, repeatableHeader);
    const bool safeMethod =
        request.method() == http::verb::get || request.method() == http::verb::head;
    const bool byDefault = cls->repeatable && (exchange->callerRequest.isModel || safeMethod);
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return {ErrorKind::BadRequest, "Reachlead-Repeatable: expected yes or no"};
    exchange->callerRequest.repeatable = repeatable.empty() ? byDefault : repeatable == "yes";
    if (!headerValue(request, keyHeader).empty())
        exchange->callerRequest.repeatable = false; // a key requests at-most-once execution
    return {};
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/limitshares.h>

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// Smaller parts of an equal share are not worth a message.
constexpr std::uint32_t minLoanDivisor = 4;

/// \p n less \p subtrahend, at least 0.
std::uint32_t saturatedDifference(std::uint32_t n, std::uint32_t subtrahend)
{
    return n - std::min(n, subtrahend);
}

} // namespace

LimitShare LimitShare::ofRate(double callsPerSecond, CallRate limit)
{
    const double limitPerSecond = limit.perSecond();
    if (callsPerSecond <= 0)
        return {};
    if (callsPerSecond >= limitPerSecond)
        return {whole};
    return {static_cast<std::uint32_t>(callsPerSecond / limitPerSecond * whole)};
}

void LimitShares::setFleet(std::size_t gateways)
{
    m_gateways = std::max<std::size_t>(gateways, 1);
}

LimitShare LimitShares::equalShare() const
{
    return {static_cast<std::uint32_t>(LimitShare::whole / m_gateways)};
}

/// A single gateway has no other one to which it could have lent its share.
bool LimitShares::isStarting(Time now) const
{
    return m_gateways > 1 && m_startedAt && now < *m_startedAt + startDelay;
}

std::uint32_t LimitShares::ownMillionths(const UpstreamId &id, Time now) const
{
    return isStarting(now) ? 0
                           : saturatedDifference(equalShare().millionths, lentMillionths(id, now));
}

/// What may be in use elsewhere. A borrower uses one of its loans at a time, so the largest counts.
std::uint32_t LimitShares::lentMillionths(const UpstreamId &id, Time now,
                                          const GatewayIncarnation *except) const
{
    const auto it = m_lent.find(id);
    if (it == m_lent.end())
        return 0;
    std::map<GatewayIncarnation, std::uint32_t> largest;
    for (const LentShare &loan : it->second) {
        if (now < loan.until && (except == nullptr || loan.borrower != *except)) {
            std::uint32_t &share = largest[loan.borrower];
            share = std::max(share, loan.share.millionths);
        }
    }
    const auto shares = largest | std::views::values;
    return std::accumulate(shares.begin(), shares.end(), std::uint32_t{0});
}

/// The sum of the loans that have not expired at \p until.
std::uint32_t LimitShares::borrowedMillionths(const UpstreamId &id, Time until) const
{
    const auto it = m_borrowed.find(id);
    if (it == m_borrowed.end())
        return 0;
    std::uint32_t sum = 0;
    for (const BorrowedShare &loan : it->second | std::views::values)
        sum += until < loan.until ? loan.share.millionths : 0;
    return sum;
}

LimitShare LimitShares::usable(const UpstreamId &id, Time now) const
{
    return {ownMillionths(id, now) + borrowedMillionths(id, now)};
}

LimitShare LimitShares::borrowed(const UpstreamId &id, Time now) const
{
    return {borrowedMillionths(id, now)};
}

LimitShare LimitShares::lent(const UpstreamId &id, Time now) const
{
    return {lentMillionths(id, now)};
}

bool LimitShares::hasLoan(const UpstreamId &id, const VmName &lender, Time until) const
{
    const auto loans = m_borrowed.find(id);
    if (loans == m_borrowed.end())
        return false;
    const auto it = loans->second.find(lender);
    return it != loans->second.end() && until < it->second.until;
}

std::vector<LimitShares::Request> LimitShares::makeRequests(const GatewayIncarnation &self,
                                                            std::span<const LimitNeed> needs,
                                                            const std::set<VmName> &lenders,
                                                            std::size_t maxCount, Time now)
{
    const std::uint32_t equal = equalShare().millionths;
    const Time renewAt = now + renewTime;
    std::vector<LimitNeed> missing;
    for (const LimitNeed &need : needs | std::views::take(maxNeeds)) {
        const std::uint32_t held =
            ownMillionths(need.upstream, now) + borrowedMillionths(need.upstream, renewAt);
        const std::uint32_t share = saturatedDifference(need.share.millionths, held);
        if (need.share > equalShare() && share > 0)
            missing.push_back({need.upstream, {share}, need.limit});
    }
    m_self = self;
    std::vector<Request> requests;
    auto lender = lenders.upper_bound(m_lastLender);
    for (std::size_t n = 0; n < lenders.size() && requests.size() < maxCount; ++n) {
        if (lender == lenders.end())
            lender = lenders.begin();
        const VmName &vm = *lender++;
        const auto asked = m_askedAt.find(vm);
        if (asked != m_askedAt.end() && now < asked->second + retryInterval)
            continue;
        std::vector<LimitNeed> asks;
        for (LimitNeed &need : missing) {
            const LimitShare ask{std::min(need.share.millionths, equal)};
            if (ask.millionths == 0 || hasLoan(need.upstream, vm, renewAt))
                continue;
            asks.push_back({need.upstream, ask, need.limit});
            need.share.millionths -= ask.millionths;
        }
        if (asks.empty())
            continue;
        m_lastLender = vm;
        m_askedAt[vm] = now;
        m_sent[++m_lastNumber] = {vm, now};
        requests.push_back({vm, {self, m_lastNumber, std::move(asks)}});
    }
    return requests;
}

std::optional<LimitShareGrant>
LimitShares::lend(const VmName &self, const LimitShareRequest &request,
                  const std::function<LimitShare(const UpstreamId &, CallRate)> &ownNeed, Time now)
{
    ReceivedRequest &newest = m_received[request.from];
    if (request.number <= newest.number || isStarting(now) || request.from.vm == self)
        return std::nullopt;
    newest = {request.number, now};
    const std::uint32_t equal = equalShare().millionths;
    LimitShareGrant grant{self, request.from, request.number, {}};
    for (const LimitNeed &need : request.needs | std::views::take(maxNeeds)) {
        const std::uint32_t kept = lentMillionths(need.upstream, now, &request.from)
            + ownNeed(need.upstream, need.limit).millionths;
        const LimitShare share{std::min(need.share.millionths, saturatedDifference(equal, kept))};
        const std::uint32_t minLoan = std::min(need.share.millionths, equal / minLoanDivisor);
        if (share.millionths < std::max(minLoan, std::uint32_t{1}))
            continue;
        m_lent[need.upstream].push_back({request.from, share, now + leaseTime + leaseMargin});
        grant.loans.push_back({need.upstream, share});
    }
    return grant.loans.empty() ? std::nullopt : std::optional(std::move(grant));
}

bool LimitShares::borrow(const LimitShareGrant &grant, Time now)
{
    const auto request = m_sent.find(grant.number);
    if (grant.to != m_self || request == m_sent.end() || request->second.lender != grant.from)
        return false;
    const Time until = request->second.at + leaseTime;
    m_sent.erase(request);
    if (until <= now)
        return false;
    for (const LimitShareGrant::Loan &loan : grant.loans) {
        BorrowedShare &known = m_borrowed[loan.upstream][grant.from];
        if (known.number < grant.number)
            known = {loan.share, grant.number, until};
    }
    return true;
}

void LimitShares::dropExpired(Time now)
{
    for (auto &loans : m_lent | std::views::values)
        std::erase_if(loans, [&](const LentShare &loan) { return loan.until <= now; });
    std::erase_if(m_lent, [](const auto &it) { return it.second.empty(); });
    for (auto &loans : m_borrowed | std::views::values)
        std::erase_if(loans, [&](const auto &loan) { return loan.second.until <= now; });
    std::erase_if(m_borrowed, [](const auto &it) { return it.second.empty(); });
    std::erase_if(m_sent, [&](const auto &it) { return it.second.at + leaseTime <= now; });
    std::erase_if(m_received, [&](const auto &it) { return it.second.at + startDelay <= now; });
    std::erase_if(m_askedAt, [&](const auto &it) { return it.second + retryInterval <= now; });
}

} // namespace reachlead

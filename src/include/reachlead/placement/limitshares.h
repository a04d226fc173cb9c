// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Shares of announced rate limits that gateways lend each other.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include <reachlead/callrate.h>
#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/upstreamid.h>
#include <reachlead/usagetable.h>

namespace reachlead {

/// Part of a rate limit, as an integer so that the shares of all gateways add up exactly.
struct LimitShare
{
    std::uint32_t millionths = 0;

    static constexpr std::uint32_t whole = 1'000'000;

    /// The share that \p rate needs of \p limit, at most the whole.
    static LimitShare ofRate(double callsPerSecond, CallRate limit);

    double fraction() const { return static_cast<double>(millionths) / whole; }

    auto operator<=>(const LimitShare &) const = default;

    template <class Archive> void serialize(Archive &ar) { ar(millionths); }
};

/// What a gateway needs of the limit of an upstream.
struct LimitNeed
{
    UpstreamId upstream;
    LimitShare share;
    CallRate limit; ///< as known to the gateway; the other one may not know it yet

    template <class Archive> void serialize(Archive &ar) { ar(upstream, share, limit); }
};

/// Asks another gateway for some of its shares.
struct LimitShareRequest
{
    GatewayIncarnation from;
    std::uint64_t number = 0; ///< increases with each request of an incarnation
    std::vector<LimitNeed> needs;

    template <class Archive> void serialize(Archive &ar) { ar(from, number, needs); }
};

/// The shares that a gateway lends for LimitShares::leaseTime from the time of the request.
struct LimitShareGrant
{
    struct Loan
    {
        UpstreamId upstream;
        LimitShare share;

        template <class Archive> void serialize(Archive &ar) { ar(upstream, share); }
    };

    VmName from;
    GatewayIncarnation to; ///< numbers of another incarnation mean other requests
    std::uint64_t number = 0; ///< of the request
    std::vector<Loan> loans;

    template <class Archive> void serialize(Archive &ar) { ar(from, to, number, loans); }
};

/// One gateway's shares of the limits that apply to all gateways together. Not thread-safe, reads
/// no clock.
///
/// Load pattern: a load balancer hands all connections to one gateway for some seconds, while the
/// others have no calls. With equal shares most of the limit would be unused.
///
/// Each gateway owns an equal share. It lends what its own calls don't need to a gateway that asks
/// for it, and does without it until the loan has surely expired there: the borrower counts the
/// lease from the time of its request, the lender from the later time of its grant. Lost, late and
/// repeated messages can therefore only leave a share unused. A gateway that has just started may
/// have lent its share before, and the others may not have made room for it yet, so it waits.
class LimitShares
{
public:
    /// Validity of a loan. Long enough to renew the loans of some hundred lenders within the bytes
    /// allowed to control traffic; short enough that a gateway gets its share back within seconds.
    static constexpr Duration leaseTime = seconds(6);
    /// Covers the drift of two steady clocks over a lease, and a call that is sent just as the
    /// lease ends.
    static constexpr Duration leaseMargin = milliseconds(200);
    /// A gateway that starts has no own share for this long: a lease that it granted before, and
    /// the time in which the other gateways hear of a new one.
    static constexpr Duration startDelay = 2 * leaseTime;
    /// A loan that expires within this time is renewed.
    static constexpr Duration renewTime = milliseconds(1500);
    /// Time after which a gateway that lent nothing is asked again.
    static constexpr Duration retryInterval = milliseconds(1000);
    /// Maximum number of upstreams in a request.
    static constexpr std::size_t maxNeeds = 8;

    /// Sets the number of gateways that own shares.
    void setFleet(std::size_t gateways);

    /// Records the start of this gateway's process. Without it, own shares are usable at once.
    void setStarted(Time at) { m_startedAt = at; }

    /// The share that this gateway may use now, loans included.
    LimitShare usable(const UpstreamId &id, Time now) const;

    /// The part of usable() that was borrowed, and the part of the own share that is lent.
    LimitShare borrowed(const UpstreamId &id, Time now) const;
    LimitShare lent(const UpstreamId &id, Time now) const;

    using Request = std::pair<VmName, LimitShareRequest>;

    /// The next requests for what \p needs exceeds, at most \p maxCount, to gateways among \p
    /// lenders in turn.
    std::vector<Request> makeRequests(const GatewayIncarnation &self,
                                      std::span<const LimitNeed> needs,
                                      const std::set<VmName> &lenders, std::size_t maxCount,
                                      Time now);

    /// Lends what this gateway's calls don't need. \p ownNeed returns the share that they need of a
    /// limit. nullopt if there is nothing to lend, or the request is older than another one.
    std::optional<LimitShareGrant>
    lend(const VmName &self, const LimitShareRequest &request,
         const std::function<LimitShare(const UpstreamId &, CallRate)> &ownNeed, Time now);

    /// Records what another gateway lends. Returns false if it was not asked for, or is too late.
    bool borrow(const LimitShareGrant &grant, Time now);

    /// Removes expired loans.
    void dropExpired(Time now);

private:
    struct LentShare
    {
        GatewayIncarnation borrower;
        LimitShare share;
        Time until;
    };
    struct BorrowedShare
    {
        LimitShare share;
        std::uint64_t number = 0; ///< of the request
        Time until;
    };
    struct SentRequest
    {
        VmName lender;
        Time at;
    };
    struct ReceivedRequest
    {
        std::uint64_t number = 0;
        Time at;
    };

    LimitShare equalShare() const;
    std::uint32_t ownMillionths(const UpstreamId &id, Time now) const;
    std::uint32_t lentMillionths(const UpstreamId &id, Time now,
                                 const GatewayIncarnation *except = nullptr) const;
    std::uint32_t borrowedMillionths(const UpstreamId &id, Time until) const;
    bool hasLoan(const UpstreamId &id, const VmName &lender, Time until) const;
    bool isStarting(Time now) const;

    GatewayIncarnation m_self; ///< of the last requests
    std::size_t m_gateways = 1;
    std::optional<Time> m_startedAt;
    std::map<UpstreamId, std::vector<LentShare>> m_lent;
    std::map<UpstreamId, std::map<VmName, BorrowedShare>> m_borrowed;
    std::map<std::uint64_t, SentRequest> m_sent; ///< by number, not answered yet
    std::map<GatewayIncarnation, ReceivedRequest> m_received; ///< the newest of each borrower
    std::map<VmName, Time> m_askedAt;
    VmName m_lastLender; ///< that was asked
    std::uint64_t m_lastNumber = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One gateway's view of the load, health and cached prompts of each upstream, and the selection of
/// upstreams based on it.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <reachlead/circuit.h>
#include <reachlead/engines/upstreamspeeds.h>
#include <reachlead/headercodec.h>
#include <reachlead/placement/cancelsignal.h>
#include <reachlead/placement/coldstartlimiter.h>
#include <reachlead/placement/dedicatedengines.h>
#include <reachlead/placement/earlyrefusal.h>
#include <reachlead/placement/limitshares.h>
#include <reachlead/placement/promptcache.h>
#include <reachlead/placement/servicerate.h>
#include <reachlead/placement/upstreambackoffs.h>
#include <reachlead/placement/upstreamlimits.h>
#include <reachlead/placement/upstreamratelimiter.h>
#include <reachlead/placement/upstreamroom.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Running requests and queued prompt tokens at an upstream.
struct UpstreamLoad
{
    std::uint32_t running = 0; ///< requests sent and not completed
    /// uncached prompt tokens of requests without a first event yet
    std::uint64_t prefillTokens = 0;
    std::uint32_t shortPrompts = 0; ///< running requests with a short prompt

    bool operator==(const UpstreamLoad &) const = default;
};

using LoadByUpstream = std::map<UpstreamId, UpstreamLoad>;

/// Input of a selection.
struct SelectionQuery
{
    ServiceName service;
    std::string model; ///< prompts of different models share no cache entries
    std::span<const PromptPart> prompt; ///< empty for a plain service
    const std::set<UpstreamId> *tried = nullptr; ///< upstreams to exclude
    const ServiceInfo *serviceInfo = nullptr; ///< null: unknown
    const ZoneName *zone = nullptr; ///< of the gateway that received the call; null: the local one
    const ZoneSet *permittedZones = nullptr; ///< null: all
    /// The version that began the stream to be continued; null: any.
    const SoftwareVersion *softwareVersion = nullptr;
    /// Upstreams for which the selector places calls, and whose load it therefore knows; null: all
    /// upstreams are equivalent.
    const std::set<UpstreamId> *group = nullptr;
    LatencySlack slack{};
    AccountName account{}; ///< of the caller; empty: none
    /// Identifies the caller's request over its attempts and over gateways; 0: not known.
    std::uint64_t requestKey = 0;
    TokenCount outputTokens = 0; ///< expected length of the answer; 0: not known
    /// Select nothing while the best upstream could not begin with the call at once.
    bool requiresRoom = false;
    bool mayRefuse = false; ///< the call was not sent yet, and does not resume an answer
    bool mayHold = false; ///< no upstream can have run the call, and its answer has not begun
    bool isGroupScheduler = false; ///< the selector places the calls of all gateways to its group
    /// The selector gets most of the rate of the limited upstreams of its group. Unlike
    /// isGroupScheduler, this is true for only one gateway among those with the same view of the
    /// fleet.
    bool ownsLimits = false;
    bool isLocal = true; ///< false: the call belongs to a querying gateway
    std::size_t bytes = 0; ///< of the request, held while it waits
    CancelSignal *cancel = nullptr; ///< ends a wait; null: nothing does
};

/// Numbers the queries of one incarnation of a gateway, from 1.
using QueryId = std::uint32_t;

/// Grants to calls that waited are numbered by the scheduler from here on, so that they are newer
/// than any query: a call that waits long does not keep the placements of later ones pending.
inline constexpr QueryId firstGrant = QueryId{1} << 31U;

/// The load that a gateway reports as caused by its calls.
struct ReportedLoad
{
    LoadByUpstream load;
    /// Queries from this number on are pending: the placements they led to are not in the load.
    QueryId oldestPendingQuery = 0;
};

/// Result of a selection, with the inputs that decided it.
struct Selection
{
    UpstreamId upstream;
    TokenCount prefillTokens = 0; ///< of the prompt, to be prefilled by the upstream
    double cost = 0; ///< ms; see UpstreamTable::Costs
    bool isPreferred = false; ///< the upstream is the preferred one of this prompt on all gateways
    bool isShortPrompt = false;
    std::optional<UpstreamId> fetchFrom; ///< from whose cache the shared parts are to be copied
    /// prefilled by the upstream before the first event, queue included
    TokenCount tokensToFirstEvent = 0;
    Duration coldSpacing{}; ///< until the selector may select the upstream again while it is cold
    Duration queueWait{}; ///< predicted queueing time at the selected upstream
    bool hasRoom = false; ///< as in UpstreamRoom
    Duration minQueueWait{}; ///< shortest queueing time of any healthy upstream
};

/// Load, health and cached prompts by upstream. Not thread-safe, reads no clock.
class UpstreamTable
{
public:
    /// How an upstream is selected. All but the first are baselines for comparison.
    enum class Strategy : std::uint8_t {
        ByCost, ///< the lowest sum of the costs below
        AffinityOnly, ///< a prompt's preferred upstream whatever its load; plain calls as
                      ///< LeastLoaded
        LeastLoaded, ///< the fewest running requests, the local zone first among equals
        RoundRobin ///< the least recently selected one
    };

    /// The terms of an upstream's cost, in ms of expected wait. Settings.
    struct Costs
    {
        /// Initial prefill speed of an engine, in tokens per ms; a cautious value for engines of
        /// this size. Scales the cost of queued prefill, which does not follow the learned rate.
        double tokensPerMs = 35.0;
        /// Each running request slows the decoding of the others.
        double perRunningRequest = 2.0;
        /// Waiting for a slot of a plain service that has none free: about the duration of one
        /// call.
        double perQueuedRequest = 30.0;
        /// Another availability zone: the price of cross-zone traffic, and the round trip.
        double crossZone = 15.0;
        /// Prefilling a part again that another upstream has cached wastes engine time and costs
        /// more than the wait alone: a multiple of the prefill time.
        double recomputeFactor = 6.0;
        /// How many model engines are dedicated to short prompts.
        DedicatedEngines::Settings dedicated;
        /// Longest prompt that counts as short: two prefill chunks of an engine.
        TokenCount maxShortPromptTokens = 4096;
        /// A short prompt on an engine that is not dedicated waits behind a prefill chunk at each
        /// of its steps.
        double shortOutsideDedicated = 80.0;
        /// A long prompt on a dedicated engine slows down its short-prompt streams.
        double longInDedicated = 600.0;
        /// Per short-prompt stream whose token gap gets too long because the prompts of its engine
        /// need more than two chunks.
        double perStalledStream = 10.0;
        /// An upstream of another group, of whose load the selector learns late: about the prefill
        /// time of a typical prompt, so that a call leaves its group only for a clear gain.
        double crossGroup = 300.0;
        /// Set-up of a copy from the cache of another engine.
        double fetchSetup = 20.0;
        /// Copying 1,000 tokens: about half the price of prefilling them again.
        double fetchPerKiloToken = 90.0;
        /// Speed of each upstream instead of that of its service.
        UpstreamSpeeds::Settings speeds;
        /// Whether an upstream can begin with one more call at once.
        UpstreamRoom room;
        /// An upstream whose circuit is open is selected only if there is no other.
        double unhealthy = 60'000.0;
        /// Whether reports of other gateways on their loads, and on where prompts are cached, are
        /// used. Disabled only to measure their benefit.
        bool usesPeerLoads = true;
        bool usesPromptHints = true;
        Strategy strategy = Strategy::ByCost;
    };

    /// A part placed by another gateway counts as prefilled this long after the report. By then it
    /// is, unless the engine is far behind.
    static constexpr Duration reportedPrefillTime = milliseconds(1500);

    /// New hints are sent for at most this long: six heartbeats with the minimum number of targets
    /// reach thirty gateways.
    static constexpr Duration hintWindow = milliseconds(2500);
    /// Hints per heartbeat: 0.5 KB, so that a heartbeat stays below 1.2 KB.
    static constexpr std::size_t maxHints = 35;

    UpstreamTable(ZoneName zone, const Costs &costs)
        : m_zone(std::move(zone)), m_costs(costs), m_dedicated(costs.dedicated),
          m_speeds(costs.speeds)
    { }

    /// Sets the number of gateways, and a number that distinguishes this one from the others.
    void setFleet(std::size_t gateways, std::uint64_t number)
    {
        m_gateways = std::max<std::size_t>(gateways, 1);
        m_gatewayNumber = number;
        m_limitShares.setFleet(gateways);
    }

    /// Removes upstreams that are no longer in the directory.
    void removeUnlisted(const UpstreamDirectory &directory);

    /// Selects the best upstream of the service; nullopt if none takes calls.
    std::optional<Selection> select(const SelectionQuery &query, const UpstreamDirectory &directory,
                                    Time now);

    /// Records that a call was sent to an upstream.
    void sent(const UpstreamId &id, const SelectionQuery &query, const Selection &selection,
              Time now);

    /// Records the first event of a call: its prompt has been prefilled.
    void firstEvent(const UpstreamId &id, TokenCount prefillTokens);

    /// Records the end of a call; \p prefillTokens are those not yet subtracted by firstEvent().
    void ended(const UpstreamId &id, TokenCount prefillTokens, bool isShortPrompt);

    /// Evidence of an upstream's health.
    void succeeded(const UpstreamId &id);
    void failed(const UpstreamId &id, Time now);
    /// Nothing listens at its address, so its process has exited. A single refused connection opens
    /// the circuit, so that no other call has to find out.
    void connectionRefused(const UpstreamId &id, Time now);
    /// Another gateway reports that an upstream fails. A report counts for reportLifetime, and only
    /// if minReports gateways agree, so that a gateway that is partitioned from an upstream does
    /// not take it from the others. When many upstreams crash at once, each gateway would otherwise
    /// send calls to every one of their addresses to find out.
    void reportedFailing(const UpstreamId &id, const VmName &reporter, Time now);
    static constexpr Duration reportLifetime = milliseconds(1000);
    static constexpr std::size_t minReports = 2;
    /// An upstream is in use again after a time in which it was not observed. Until its registry
    /// entry can show whether it became cold, it gets calls at the rate of a cold one.
    void mayBeCold(const UpstreamId &id, Time now);
    /// The platform reports entries within a few hundred ms, and peers forward them with their next
    /// heartbeats.
    static constexpr Duration assumedColdTime = milliseconds(1000);

    /// Another incarnation answers at its address: this one has exited, whatever the registry says.
    void replaced(const UpstreamId &id);

    /// The rate limits that upstreams announced.
    UpstreamLimits &limits() { return m_limits; }
    const UpstreamLimits &limits() const { return m_limits; }

    /// This gateway's shares of those limits.
    LimitShares &limitShares() { return m_limitShares; }
    const LimitShares &limitShares() const { return m_limitShares; }

    /// What the calls of this gateway need of the limits of upstreams that it sends to by its own
    /// share.
    std::vector<LimitNeed> limitNeeds(Time now) const;

    /// The share that the calls of this gateway need of a limit; \p limit counts if none is known.
    LimitShare neededShare(const UpstreamId &id, CallRate limit, Time now) const;

    /// The backoffs that upstreams requested from this gateway.
    UpstreamBackoffs &backoffs() { return m_backoffs; }
    const UpstreamBackoffs &backoffs() const { return m_backoffs; }

    /// True if an upstream that could take the call is in backoff for this gateway.
    bool isBlockedByBackoff(const SelectionQuery &query, const UpstreamDirectory &directory,
                            Time now) const;

    /// False for an upstream whose calls another gateway places.
    static bool isInGroup(const SelectionQuery &query, const UpstreamId &id)
    {
        return query.group == nullptr || query.group->contains(id);
    }

    /// True if an upstream that could take the call is rate-limited.
    bool isBlockedByLimit(const SelectionQuery &query, const UpstreamDirectory &directory,
                          Time now) const;

    /// Replaces the load that another gateway reported, for the time \p valid. Expired loads are
    /// removed, so that memory use follows the number of live gateways.
    void setPeerLoad(const VmName &peer, ReportedLoad reported, Time now,
                     Duration valid = peerLoadLifetime);

    /// The same for the upstreams of one group only; the rest of the reported load is kept.
    void setPeerLoad(const VmName &peer, ReportedLoad reported, const std::set<UpstreamId> &group,
                     Time now);

    /// Records a call placed for another gateway, by the id of its query. It counts until the load
    /// reported by that gateway includes it, or until pendingPlacementTimeout.
    void addPendingPlacement(const VmName &peer, QueryId queryId, const SelectionQuery &query,
                             const Selection &selection, Time now);

    /// The reported load of a gateway includes the grants of the group up to \p lastGrant, or they
    /// never reached it.
    void dropPendingGrants(const VmName &peer, const std::set<UpstreamId> &group,
                           QueryId lastGrant);

    /// A placement that its gateway never reported was not sent: the reply was lost.
    static constexpr Duration pendingPlacementTimeout = milliseconds(1500);

    /// False if the regions of a call exclude the upstream.
    static bool isInRegion(const SelectionQuery &query, const UpstreamEntry &entry)
    {
        return query.permittedZones == nullptr || query.permittedZones->contains(entry.zone);
    }

    /// False if another version began the stream that the call continues.
    static bool isOfVersion(const SelectionQuery &query, const UpstreamEntry &entry)
    {
        return query.softwareVersion == nullptr || *query.softwareVersion == entry.softwareVersion;
    }

    /// False if the upstream was tried, or the regions or the version of the call exclude it.
    static bool isEligible(const SelectionQuery &query, const UpstreamEntry &entry)
    {
        const bool wasTried = query.tried != nullptr && query.tried->contains(entry.id);
        return !wasTried && isInRegion(query, entry) && isOfVersion(query, entry);
    }

    /// True if the service has an upstream that takes calls, was not tried and is not in backoff.
    bool hasAlternative(const SelectionQuery &query, const UpstreamDirectory &directory,
                        Time now) const;

    /// Upstreams of a service that are unhealthy by this gateway's own evidence, at most \p
    /// maxCount.
    std::vector<UpstreamId> unhealthyUpstreams(const ServiceName &service,
                                               const UpstreamDirectory &directory, Time now,
                                               std::size_t maxCount);

    /// False for an upstream that fails, by the evidence of this gateway or of several others.
    bool isHealthy(const UpstreamId &id, Time now) { return !isFailing(&m_records[id], now); }

    /// Number of gateways whose loads are known.
    std::size_t peerCount() const { return m_peers.size(); }

    /// The load of an upstream from this and all known gateways.
    UpstreamLoad load(const UpstreamId &id, Time now);

    /// This gateway's own load, to be reported to others.
    LoadByUpstream ownLoad() const;

    /// Prompt tokens sent since the last markReported().
    TokenCount unreportedTokens() const { return m_unreportedTokens; }
    /// Records that the load is being reported to others.
    void markReported() { m_unreportedTokens = 0; }

    /// Observations from calls of this gateway: the first event came \p duration after a call was
    /// sent that had \p tokensToFirstEvent to be prefilled; a call occupied its slot for \p
    /// duration.
    void recordPrefill(const ServiceName &service, const UpstreamId &id,
                       TokenCount tokensToFirstEvent, Duration duration, Time now);
    void recordCallDuration(const ServiceName &service, Duration duration);
    /// The same for a call without a prompt, which shows the speed of its upstream.
    void recordPlainCall(const ServiceName &service, const UpstreamId &id, Duration duration,
                         Time now);
    /// Adds the observations of other gateways.
    void addRateSample(const ServiceName &service, const RateSample &sample);
    /// Returns and clears what was observed since the last call.
    RateSample takeRateSample(const ServiceName &service);
    const ServiceRate &serviceRate(const ServiceName &service);

    /// Speed of each upstream.
    UpstreamSpeeds &speeds() { return m_speeds; }

    /// Prompt placements of the last \p window, to be sent to other gateways.
    std::vector<PromptHint> recentHints(Time now, Duration window = hintWindow);
    /// Adds prompt placements of another gateway.
    void addHints(const std::vector<PromptHint> &hints, Time now);

    /// How long the load of a peer counts if every peer is reported to in each heartbeat or two.
    static constexpr Duration peerLoadLifetime = milliseconds(2500);

private:
    struct Record
    {
        UpstreamLoad load;
        Circuit circuit{circuitSettings()};
        std::uint64_t lastTurn = 0; ///< sequence number of the last selection of this upstream
        bool isReplaced = false; ///< another incarnation answers at its address
        std::map<VmName, Time> reports; ///< of failures, by other gateways
        ColdStartLimiter cold;
        UpstreamRateLimiter limit;
        PromptCache cache;
    };
    struct RecentHint
    {
        PromptHint hint;
        Time at;
    };
    /// A call placed for another gateway that is not in its reported load yet.
    struct PendingPlacement
    {
        QueryId queryId = 0;
        UpstreamId upstream;
        UpstreamLoad load;
        Time at;
    };
    struct PeerLoad
    {
        LoadByUpstream load;
        std::deque<PendingPlacement> pending; ///< oldest first
        Time validUntil;
    };

    /// An upstream that may be selected.
    struct Candidate
    {
        const UpstreamEntry *entry = nullptr;
        bool isHealthy = true;
        bool isDedicated = false;
        TokenCount cachedTokens = 0; ///< of the prompt, probably cached
        TokenCount cachedShared = 0; ///< of the shared parts, probably cached
        UpstreamLoad load; ///< of all known gateways
        double loadCost = 0; ///< ms; without the prompt to be placed
        double speed = 1.0; ///< as UpstreamSpeeds::speed()
    };
    /// A prompt to be placed, and where it is cached.
    struct PromptLocation
    {
        std::vector<KeyedPart> parts;
        TokenCount tokens = 0;
        TokenCount sharedTokens = 0;
        TokenCount maxCachedShared = 0; ///< of the shared parts, on any healthy candidate
        bool isCold = false; ///< no upstream is known to have all shared parts cached
        /// where all gateways send it while none has it cached
        std::optional<UpstreamId> preferred;
        const Candidate *source = nullptr; ///< has maxCachedShared tokens cached and prefilled

        std::span<const KeyedPart> shared() const;
    };

    using CostFunction = double (UpstreamTable::*)(const Candidate &, const SelectionQuery &,
                                                   const PromptLocation &, Selection *) const;

    static Circuit::Settings circuitSettings();
    void addPeerLoad(const UpstreamId &id, const UpstreamLoad &load);
    void subtractPeerLoad(const UpstreamId &id, const UpstreamLoad &load);
    void replacePeerLoad(PeerLoad *peer, LoadByUpstream load);
    void dropPendingPlacements(PeerLoad *peer, QueryId oldestPendingQuery, Time now);
    void recordParts(Record *record, const SelectionQuery &query, const Selection &selection,
                     Time now, bool isReported);
    Duration prefillTime(const ServiceName &service, const UpstreamId &id,
                         TokenCount tokensToFirstEvent, Time now);
    void dropExpiredPeers(Time now);
    double costByCost(const Candidate &candidate, const SelectionQuery &query,
                      const PromptLocation &location, Selection *selection) const;
    double costAffinityOnly(const Candidate &candidate, const SelectionQuery &query,
                            const PromptLocation &location, Selection *selection) const;
    double costLeastLoaded(const Candidate &candidate, const SelectionQuery &query,
                           const PromptLocation &location, Selection *selection) const;
    double costRoundRobin(const Candidate &candidate, const SelectionQuery &query,
                          const PromptLocation &location, Selection *selection) const;
    std::vector<Candidate> candidates(const SelectionQuery &query, const PromptLocation &location,
                                      const UpstreamDirectory &directory, Time now);
    double loadCost(const SelectionQuery &query, const Candidate &candidate) const;
    UpstreamLoad knownLoad(const UpstreamId &id) const;
    static bool isFailing(Record *record, Time now);
    bool isBackedOff(const SelectionQuery &query, const UpstreamId &id, Time now) const;
    double rateShare(const SelectionQuery &query, const UpstreamId &id, bool hasMost) const;
    Duration gatewayPhase(const UpstreamId &id, Duration spacing) const;
    bool isRateLimited(const SelectionQuery &query, const UpstreamId &id, Record *record,
                       Time now) const;
    bool allowsByShare(const SelectionQuery &query, const UpstreamId &id,
                       const UpstreamRateLimiter &limiter, double rate, Time now) const;
    Duration coldSpacing(const SelectionQuery &query, const UpstreamId &id) const;
    bool isColdLimited(const SelectionQuery &query, const UpstreamEntry &entry, Record *record,
                       Time now) const;
    const ZoneName &callerZone(const SelectionQuery &query) const;
    static PromptLocation locatePrompt(const SelectionQuery &query);
    void findPreferred(const SelectionQuery &query, const std::vector<Candidate> &candidates,
                       PromptLocation *location) const;
    void findSource(const SelectionQuery &query, const std::vector<Candidate> &candidates, Time now,
                    PromptLocation *location) const;
    double prefillCost(const Candidate &candidate, const SelectionQuery &query,
                       const PromptLocation &location, Selection *selection) const;
    double stallCost(const Candidate &candidate, TokenCount prefillTokens) const;
    double fetchCost(TokenCount tokens, const ServiceInfo &info) const;
    double dedicationCost(const SelectionQuery &query, bool isDedicated) const;
    std::map<ServiceName, DedicatedEngines::Demand>
    demand(const UpstreamDirectory &directory) const;
    bool isShortPrompt(const SelectionQuery &query) const;

    ZoneName m_zone;
    Costs m_costs;
    std::unordered_map<UpstreamId, Record> m_records;
    std::uint64_t m_turns = 0; ///< selections that were sent
    std::size_t m_gateways = 1;
    std::uint64_t m_gatewayNumber = 0; ///< as in setFleet()
    std::map<ServiceName, ServiceRate> m_rates;
    std::map<ServiceName, RateSample> m_unreportedSamples;
    TokenCount m_unreportedTokens = 0;
    std::map<VmName, PeerLoad> m_peers;
    std::unordered_map<UpstreamId, UpstreamLoad> m_peerTotals; ///< sum over m_peers
    std::deque<RecentHint> m_recentHints; ///< oldest first
    DedicatedEngines m_dedicated;
    UpstreamSpeeds m_speeds;
    UpstreamLimits m_limits;
    LimitShares m_limitShares;
    UpstreamBackoffs m_backoffs;
};

/// The upstream that all gateways prefer for a prompt whose last shared part has this key: the one
/// with the highest hash of key and upstream id (rendezvous hashing), so that a change of the set
/// moves only the prompts of the upstreams that changed. nullopt if the set is empty.
std::optional<UpstreamId> preferredUpstream(PromptKey key,
                                            std::span<const UpstreamEntry *const> candidates);

} // namespace reachlead

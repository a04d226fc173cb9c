// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What one gateway knows of the load, the health and the cached prompts of each upstream, and the
/// choice that rests on it.

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
#include <reachlead/coldstartlimiter.h>
#include <reachlead/dedicatedengines.h>
#include <reachlead/earlyrefusal.h>
#include <reachlead/headercodec.h>
#include <reachlead/promptcache.h>
#include <reachlead/servicerate.h>
#include <reachlead/upstreambackoffs.h>
#include <reachlead/upstreamdirectory.h>
#include <reachlead/upstreamlimits.h>
#include <reachlead/upstreamratelimiter.h>

namespace reachlead {

/// Requests and prompt tokens that are under way at an upstream.
struct UpstreamLoad
{
    std::uint32_t running = 0; ///< requests sent and not ended
    std::uint64_t prefillTokens = 0; ///< prompt tokens not in its cache, of requests without a
                                     ///< first event yet
    std::uint32_t shortPrompts = 0; ///< of those that run, with a short prompt

    bool operator==(const UpstreamLoad &) const = default;
};

using LoadByUpstream = std::map<UpstreamId, UpstreamLoad>;

/// What is asked of a choice.
struct SelectionQuery
{
    ServiceName service;
    std::string model; ///< prompts of different models share nothing
    std::span<const PromptPart> prompt; ///< empty for a plain service
    const std::set<UpstreamId> *tried = nullptr; ///< upstreams that are not to be taken
    const ServiceInfo *serviceInfo = nullptr; ///< what is known of the service; null: nothing
    const ZoneName *zone = nullptr; ///< of the gateway that the call is at; null: this one's
    const ZoneSet *permittedZones = nullptr; ///< whose upstreams may work on the call; null: all
    /// Upstreams whose calls the chooser places, and so knows; null: all alike.
    const std::set<UpstreamId> *group = nullptr;
    LatencySlack slack{};
    bool mayRefuse = false; ///< it was sent nowhere yet, and is no continuation of an answer
    bool isGroupScheduler = false; ///< the chooser places all gateways' calls to its group
    /// The chooser gives out most of what the limited upstreams of its group take. Unlike
    /// isGroupScheduler, it holds for one gateway alone among those that know the same fleet.
    bool ownsLimits = false;
    bool isLocal = true; ///< a call of the chooser's gateway; false: of one that asked it
};

/// Numbers the questions of one life of a gateway, from 1.
using QueryId = std::uint32_t;

/// What a gateway says of the load that it causes.
struct ReportedLoad
{
    LoadByUpstream load;
    /// Questions with this number and later ones are open: what they led to is not in the load.
    QueryId oldestPendingQuery = 0;
};

/// The outcome, with the inputs that decided it.
struct Selection
{
    UpstreamId upstream;
    TokenCount prefillTokens = 0; ///< of the prompt, that the upstream has to read
    double cost = 0; ///< ms; see UpstreamTable::Costs
    bool isPreferred = false; ///< the upstream is the one that all gateways prefer for this prompt
    bool isShortPrompt = false; ///< the prompt is a short one
    std::optional<UpstreamId> fetchFrom; ///< whose cache the shared parts are to be copied from
    TokenCount tokensToFirstEvent = 0; ///< that the upstream has to read until the first event
    Duration coldSpacing{}; ///< until the chooser may take it again while it is cold
    Duration minQueueWait{}; ///< for what is in front, at the healthy upstream where it is shortest
};

/// Load, health and cached prompts by upstream. Not thread-safe, reads no clock.
class UpstreamTable
{
public:
    /// How an upstream is chosen. All but the first are baselines to compare with.
    enum class Strategy : std::uint8_t {
        ByCost, ///< the least of the costs below
        AffinityOnly, ///< the home of a prompt whatever its load; plain calls as LeastLoaded
        LeastLoaded, ///< the fewest requests that run, the own zone first among equals
        RoundRobin ///< the one that was taken longest ago
    };

    /// The terms of an upstream's cost, in ms of expected wait. Settings.
    struct Costs
    {
        /// Prompt tokens that an engine reads in 1 ms; learned from no one, so a cautious figure
        /// for engines of this size. It scales the wait behind unread prompts.
        double tokensPerMs = 35.0;
        /// Each request that runs makes the tokens of the others slower.
        double perRunningRequest = 2.0;
        /// Waiting for a slot of a plain service that has none free: about one call's work.
        double perQueuedRequest = 30.0;
        /// Another availability zone: bytes across zones cost, and the way there and back.
        double crossZone = 15.0;
        /// Reading a part again that some upstream holds wastes engine work and its price is more
        /// than the wait alone: a multiple of the time to read it.
        double recomputeFactor = 6.0;
        /// How many model engines are kept free of long prompts.
        DedicatedEngines::Settings dedicated;
        /// A prompt of at most this many tokens counts as short: two chunks of an engine.
        TokenCount maxShortPromptTokens = 4096;
        /// A short prompt outside the quiet engines waits behind a chunk at each of its steps.
        double shortOutsideDedicated = 80.0;
        /// A long prompt in a quiet engine slows the streams that were promised quiet.
        double longInDedicated = 600.0;
        /// A stream of a short prompt that pauses too long as the prompts of its engine take more
        /// than two chunks to read.
        double perStalledStream = 10.0;
        /// An upstream of another group, of whose load the chooser hears late: about what a prompt
        /// of usual size takes to be read, so that a call leaves its group only for a clear gain.
        double crossGroup = 300.0;
        /// Copying a part from the cache of another engine: the set-up of a transfer.
        double fetchSetup = 20.0;
        /// The price of a copy, for each 1,000 tokens: about half of that of reading again.
        double fetchPerKiloToken = 90.0;
        /// An upstream whose circuit is open is taken only if there is no other.
        double unhealthy = 60'000.0;
        /// What other gateways tell of their loads, and of where prompts lie, counts. Off: only to
        /// measure what it is worth.
        bool usesPeerLoads = true;
        bool usesPromptHints = true;
        Strategy strategy = Strategy::ByCost;
    };

    /// A part that another gateway placed is taken to be read this long after it was told: by then
    /// it is, unless the engine is far behind.
    static constexpr Duration toldReadTime = milliseconds(1500);

    /// What is new of where prompts lie is told for this long at most: six beats of the fewest
    /// targets reach thirty gateways.
    static constexpr Duration hintWindow = milliseconds(2500);
    /// Notes in one beat: 0.5 KB, so that a beat stays below 1.2 KB.
    static constexpr std::size_t maxHints = 35;

    UpstreamTable(ZoneName zone, const Costs &costs)
        : m_zone(std::move(zone)), m_costs(costs), m_quiet(costs.dedicated)
    { }

    /// How many gateways there are, and a number of this one's own by which they differ.
    void setFleet(std::size_t gateways, std::uint64_t own)
    {
        m_gateways = std::max<std::size_t>(gateways, 1);
        m_ownNumber = own;
    }

    /// Follows the directory: forgets upstreams that are gone.
    void removeUnlisted(const UpstreamDirectory &directory);

    /// The best upstream of the service; none when there is none that takes work.
    std::optional<Selection> select(const SelectionQuery &ask, const UpstreamDirectory &directory,
                                    Time now);

    /// A call was bound to an upstream.
    void sent(const UpstreamId &id, const SelectionQuery &ask, const Selection &choice, Time now);

    /// Its prompt was read: the first event came.
    void firstEvent(const UpstreamId &id, TokenCount unread);

    /// It ended; \p unread are the tokens that firstEvent() was not told of.
    void ended(const UpstreamId &id, TokenCount unread, bool isShortPrompt);

    /// Evidence on an upstream's health.
    void succeeded(const UpstreamId &id);
    void failed(const UpstreamId &id, Time now);
    /// Nobody listens at its address, so its process is gone: no other call is to find that out.
    void connectionRefused(const UpstreamId &id, Time now);
    /// Another gateway's evidence speaks against an upstream. It counts for reportAge and where two
    /// gateways agree, this one included: one that is cut off from an upstream must not take it
    /// from the others. Of 29,400 calls on a day on which 20 of 180 engines crashed at once 4,304
    /// were sent to where nobody listened, as each gateway had to find out by itself.
    void reportedFailing(const UpstreamId &id, const VmName &reporter, Time now);
    static constexpr Duration reportAge = milliseconds(1000);
    static constexpr std::size_t reportsNeeded = 2;
    /// An upstream came back into use without being followed meanwhile. Until its entry can have
    /// told whether it became cold, it gets calls as a cold one.
    void mayBeCold(const UpstreamId &id, Time now);
    /// The platform tells of entries within some hundred ms, and peers of that at their next beats.
    static constexpr Duration coldDoubt = milliseconds(1000);

    /// Another life answers at its address: this one is gone for good, whatever the registry says.
    void replaced(const UpstreamId &id);

    /// The limits that upstreams named.
    UpstreamLimits &limits() { return m_limits; }
    const UpstreamLimits &limits() const { return m_limits; }

    /// The backoffs that upstreams asked this gateway for.
    UpstreamBackoffs &backoffs() { return m_backoffs; }
    const UpstreamBackoffs &backoffs() const { return m_backoffs; }

    /// True when an upstream that would take the call is to be left alone by this gateway.
    bool isBlockedByBackoff(const SelectionQuery &ask, const UpstreamDirectory &directory,
                            Time now) const;

    /// False for an upstream whose calls another gateway places.
    static bool isOfGroup(const SelectionQuery &ask, const UpstreamId &id)
    {
        return ask.group == nullptr || ask.group->contains(id);
    }

    /// True when an upstream that would take the call is kept from it by its limit.
    bool isBlockedByLimit(const SelectionQuery &ask, const UpstreamDirectory &directory,
                          Time now) const;

    /// What another gateway said of its own load, which counts for \p valid. Loads that are too old
    /// are forgotten, so that the memory follows the gateways that live.
    void setPeerLoad(const VmName &peer, ReportedLoad told, Time now,
                     Duration valid = peerLoadLifetime);

    /// The same of the upstreams of one group alone; the rest of what it said stays.
    void setPeerLoad(const VmName &peer, ReportedLoad told, const std::set<UpstreamId> &group,
                     Time now);

    /// A call of another gateway was placed, by its question of this number. It counts until that
    /// gateway's own word of its load holds it, or grantLimit has passed.
    void addPendingPlacement(const VmName &peer, QueryId number, const SelectionQuery &ask,
                             const Selection &choice, Time now);

    /// A placed call that its gateway never told of was not sent: the answer was lost.
    static constexpr Duration grantLimit = milliseconds(1500);

    /// False where the regions of a call keep it from an upstream.
    static bool isInRegion(const SelectionQuery &ask, const UpstreamEntry &entry)
    {
        return ask.permittedZones == nullptr || ask.permittedZones->contains(entry.zone);
    }

    /// False for an upstream that was tried, or that the regions of a call keep it from.
    static bool isEligible(const SelectionQuery &ask, const UpstreamEntry &entry)
    {
        const bool wasTried = ask.tried != nullptr && ask.tried->contains(entry.id);
        return !wasTried && isInRegion(ask, entry);
    }

    /// True when the service has an upstream that takes work, was not tried and is not backed off.
    bool hasAlternative(const SelectionQuery &ask, const UpstreamDirectory &directory,
                        Time now) const;

    /// Upstreams of a service that this gateway's own evidence speaks against, \p most at most.
    std::vector<UpstreamId> unhealthyUpstreams(const ServiceName &service,
                                               const UpstreamDirectory &directory, Time now,
                                               std::size_t most);

    /// Gateways whose loads are remembered.
    std::size_t peerCount() const { return m_peers.size(); }

    /// The load of an upstream, by all gateways that were heard.
    UpstreamLoad load(const UpstreamId &id, Time now);

    /// This gateway's own load, to be told to others.
    LoadByUpstream ownLoad() const;

    /// Prompt tokens that were sent to be read since told() was last called.
    TokenCount unreportedTokens() const { return m_untold; }
    /// The load is being told to others.
    void markReported() { m_untold = 0; }

    /// What calls of this gateway showed of a service's pace: the first event came \p span after a
    /// call was sent that had \p ahead tokens to wait for; a call held its place for \p span.
    void recordPrefill(const ServiceName &service, TokenCount ahead, Duration span);
    void recordCallDuration(const ServiceName &service, Duration span);
    /// The same of other gateways' calls.
    void addRateSample(const ServiceName &service, const RateSample &sample);
    /// What was noted since this was last asked for.
    RateSample takeRateSample(const ServiceName &service);
    const ServiceRate &serviceRate(const ServiceName &service);

    /// Where prompts were placed in the last \p span, to be told to other gateways.
    std::vector<PromptHint> recentHints(Time now, Duration span = hintWindow);
    /// What another gateway said of where prompts lie.
    void addHints(const std::vector<PromptHint> &notes, Time now);

    /// Load that a peer told counts this long where all are told in each beat or two.
    static constexpr Duration peerLoadLifetime = milliseconds(2500);

private:
    struct Record
    {
        UpstreamLoad load;
        Circuit circuit{circuitSettings()};
        std::uint64_t lastTurn = 0; ///< of all choices, when it was last taken
        bool isReplaced = false; ///< another life answers at its address
        std::map<VmName, Time> reports; ///< of failures there, by other gateways
        ColdStartLimiter cold;
        UpstreamRateLimiter limit;
        PromptCache cache;
    };
    struct FreshNote
    {
        PromptHint note;
        Time at;
    };
    /// A call that was placed for another gateway and that its load does not hold yet.
    struct Grant
    {
        QueryId number = 0;
        UpstreamId upstream;
        UpstreamLoad load;
        Time at;
    };
    struct PeerLoad
    {
        LoadByUpstream load;
        std::deque<Grant> grants; ///< oldest first
        Time validUntil;
    };

    /// An upstream that may be chosen.
    struct Candidate
    {
        const UpstreamEntry *entry = nullptr;
        bool isHealthy = true;
        bool isQuiet = false;
        TokenCount held = 0; ///< of the prompt, that it is believed to have cached
        TokenCount heldShared = 0; ///< the same of the shared parts alone
        UpstreamLoad load; ///< of all gateways that were heard
        double loadCost = 0; ///< ms; without the prompt that is asked for
    };
    /// A prompt that is to be placed, and where it lies.
    struct Placement
    {
        std::vector<KeyedPart> parts;
        TokenCount tokens = 0;
        TokenCount sharedTokens = 0;
        TokenCount mostHeld = 0; ///< of the shared parts, by any healthy candidate
        bool isCold = false; ///< nobody is known to hold all shared parts
        std::optional<UpstreamId> home; ///< where all gateways send it while nobody holds it
        const Candidate *source = nullptr; ///< holds mostHeld and has read it

        std::span<const KeyedPart> shared() const;
    };

    using CostOf = double (UpstreamTable::*)(const Candidate &, const SelectionQuery &,
                                             const Placement &, Selection *) const;

    static Circuit::Settings circuitSettings();
    void addPeerLoad(const UpstreamId &id, const UpstreamLoad &load);
    void takeOffPeerLoad(const UpstreamId &id, const UpstreamLoad &load);
    void replacePeerLoad(PeerLoad *peer, LoadByUpstream load);
    void dropGrants(PeerLoad *peer, QueryId oldestPendingQuery, Time now);
    void noteParts(Record *record, const SelectionQuery &ask, const Selection &choice, Time now,
                   bool isTold);
    Duration readTime(const ServiceName &service, TokenCount ahead);
    void dropOldPeers(Time now);
    double costByCost(const Candidate &candidate, const SelectionQuery &ask,
                      const Placement &placement, Selection *choice) const;
    double costHomeOnly(const Candidate &candidate, const SelectionQuery &ask,
                        const Placement &placement, Selection *choice) const;
    double costLeastLoaded(const Candidate &candidate, const SelectionQuery &ask,
                           const Placement &placement, Selection *choice) const;
    double costRoundRobin(const Candidate &candidate, const SelectionQuery &ask,
                          const Placement &placement, Selection *choice) const;
    std::vector<Candidate> candidates(const SelectionQuery &ask, const Placement &placement,
                                      const UpstreamDirectory &directory, Time now);
    double loadCost(const SelectionQuery &ask, const UpstreamEntry &entry, const UpstreamLoad &load,
                    bool isHealthy) const;
    UpstreamLoad knownLoad(const UpstreamId &id) const;
    static bool isFailing(Record *record, Time now);
    bool isBackedOff(const SelectionQuery &ask, const UpstreamId &id, Time now) const;
    double partOf(const SelectionQuery &ask, const UpstreamId &id, bool hasMost) const;
    Duration phaseOf(const UpstreamId &id, Duration spacing) const;
    bool isOverLimit(const SelectionQuery &ask, const UpstreamId &id, const Record &record,
                     Time now) const;
    Duration coldSpacing(const SelectionQuery &ask, const UpstreamId &id) const;
    bool isTooCold(const SelectionQuery &ask, const UpstreamEntry &entry, Record *record,
                   Time now) const;
    const ZoneName &zoneOf(const SelectionQuery &ask) const;
    static Placement placementOf(const SelectionQuery &ask);
    void findHome(const SelectionQuery &ask, const std::vector<Candidate> &among,
                  Placement *placement) const;
    void findSource(const SelectionQuery &ask, const std::vector<Candidate> &among, Time now,
                    Placement *placement) const;
    double readingCost(const Candidate &candidate, const SelectionQuery &ask,
                       const Placement &placement, Selection *choice) const;
    double pauseCost(const Candidate &candidate, TokenCount unread) const;
    double fetchCost(TokenCount tokens, const ServiceInfo &info) const;
    double quietCost(const SelectionQuery &ask, bool isQuiet) const;
    std::map<ServiceName, DedicatedEngines::Demand>
    demand(const UpstreamDirectory &directory) const;
    bool isShort(const SelectionQuery &ask) const;

    ZoneName m_zone;
    Costs m_costs;
    std::unordered_map<UpstreamId, Record> m_records;
    std::uint64_t m_turns = 0; ///< choices that were sent
    std::size_t m_gateways = 1;
    std::uint64_t m_ownNumber = 0; ///< as in setFleet()
    std::map<ServiceName, ServiceRate> m_paces;
    std::map<ServiceName, RateSample> m_newPace; ///< not told yet
    TokenCount m_untold = 0;
    std::map<VmName, PeerLoad> m_peers;
    std::unordered_map<UpstreamId, UpstreamLoad> m_peerTotals; ///< the sum over m_peers
    std::deque<FreshNote> m_fresh; ///< oldest first
    DedicatedEngines m_quiet;
    UpstreamLimits m_limits;
    UpstreamBackoffs m_backoffs;
};

/// The upstream that all gateways prefer for a prompt whose last shared part has this key: the
/// highest of a hash over the key and the upstream's id (rendezvous hashing), so that a change of
/// the set moves only the prompts of the upstreams that changed. None among none.
std::optional<UpstreamId> preferredUpstream(PromptKey key,
                                            std::span<const UpstreamEntry *const> among);

} // namespace reachlead

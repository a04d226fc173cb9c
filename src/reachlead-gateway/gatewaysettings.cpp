// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "gatewaysettings.h"

#include <algorithm>
#include <array>
#include <ranges>

#include <fmt/format.h>

#include "operators/daemon.h"
#include "operators/readsettings.h"

namespace reachlead {

namespace {

/// File descriptors reserved for the store, peers, files and idle connections to upstreams.
constexpr std::int64_t reservedDescriptors = 800;
constexpr std::int64_t minConnections = 64;

/// Connections per MB of half the memory: a caller's connection takes its read buffer, what is read
/// ahead, a request that needs no room of its own, and what the kernel has received.
constexpr std::int64_t connectionsPerMb = 16;

/// Reads several endpoints from one section. Returns the first error, if any.
std::optional<std::string> readEndpoints(const IniFile &file, IniReader &reader,
                                         std::string_view section,
                                         const std::vector<std::pair<std::string, Endpoint *>> &all)
{
    std::vector<std::string> texts(all.size());
    for (std::size_t n = 0; n < all.size(); ++n)
        reader.require(all[n].first).takeText(all[n].first, &texts[n]);
    if (auto error = reader.finish())
        return error;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto endpoint = Endpoint::parse(texts[n]);
        if (!endpoint)
            return fmt::format("{}: key '{}' in section '{}': expected IP-NUMBER:PORT, found '{}'",
                               file.source(), all[n].first, section, texts[n]);
        *all[n].second = *endpoint;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> GatewaySettings::read(const IniFile &file)
{
    using Reader = std::optional<std::string> (GatewaySettings::*)(const IniFile &);
    constexpr auto readers = std::to_array<Reader>(
        {&GatewaySettings::readGateway, &GatewaySettings::readPeers,
         &GatewaySettings::readAddresses, &GatewaySettings::readRetries,
         &GatewaySettings::readPlacement, &GatewaySettings::readQueue, &GatewaySettings::readUsage,
         &GatewaySettings::readStop, &GatewaySettings::readLogSection,
         &GatewaySettings::readRegions, &GatewaySettings::readPressure,
         &GatewaySettings::readStreams, &GatewaySettings::readEngines});
    if (auto error = unknownSection(file,
                                    {"gateway", "peers", "operators", "store", "placement", "queue",
                                     "retries", "usage", "stop", "log", "regions", "pressure",
                                     "streams", "engines"}))
        return error;
    for (const Reader reader : readers) {
        if (auto error = (this->*reader)(file))
            return error;
    }
    return std::nullopt;
}

std::optional<std::string> GatewaySettings::readGateway(const IniFile &file)
{
    IniReader reader(file, "gateway");
    reader.require("vm")
        .require("zone")
        .takeText("vm", &state.vm.text)
        .takeText("zone", &state.zone.text)
        .takeInteger("memory_mb", 16, 1'000'000, &memoryMb)
        .takeInteger("descriptors", 256, 1'000'000, &descriptors)
        .takeNumber("cores", 0.0, 1024.0, &cores)
        .takeFlag("follow_evacuations", &state.followsEvacuations);
    const std::int64_t memoryLimit = memoryMb / 2 * connectionsPerMb;
    const std::int64_t connectionLimit =
        std::max(minConnections, std::min(memoryLimit, descriptors - reservedDescriptors));
    forwarder.maxConnections = static_cast<std::size_t>(connectionLimit);
    peers.self.vm = state.vm;
    peers.self.cores = static_cast<MilliCores>(cores * 1000.0);
    return readEndpoints(file, reader, "gateway",
                         {{"listen", &forwarder.listen}, {"ready", &ready}});
}

/// Each key is an availability zone, and its value the region of the zone.
std::optional<std::string> GatewaySettings::readRegions(const IniFile &file)
{
    const auto section = file.sections().find("regions");
    if (section == file.sections().end())
        return std::nullopt;
    IniReader reader(file, "regions");
    for (const std::string &zone : section->second | std::views::keys)
        reader.takeText(zone, &state.regions[ZoneName(zone)].text);
    return reader.finish();
}

/// The port of a seed may be that of another interface and is replaced by `port`, on which peers
/// listen.
std::optional<std::string> GatewaySettings::readPeers(const IniFile &file)
{
    std::vector<std::string> seeds;
    std::vector<std::string> keys;
    std::int64_t port = 0;
    double beatMs = toMillis(peers.heartbeats.interval);
    double configMs = 2000.0;
    double leaveMs = configMs;
    IniReader reader(file, "peers");
    reader.require("port")
        .takeInteger("port", 0, 65535, &port)
        .takeNumber("beat_ms", 50.0, 10'000.0, &beatMs)
        .takeNumber("config_bound_ms", 100.0, 600'000.0, &configMs)
        .takeNumber("leave_bound_ms", 100.0, 600'000.0, &leaveMs)
        .takeNumber("bytes_per_s", 1.0, 1e9, &peers.heartbeats.bytesPerSecond);
    peers.heartbeats.interval = fromSeconds(beatMs / 1000.0);
    if (reader.has("seeds"))
        reader.takeList("seeds", &seeds);
    if (reader.has("keys"))
        reader.takeList("keys", &keys);
    if (auto error = readEndpoints(file, reader, "peers", {{"address", &peers.self.address}}))
        return error;
    if (!keys.empty()) {
        std::string reason;
        const auto parsed = FleetKeys::parse(fmt::format("{}", fmt::join(keys, "\n")), &reason);
        if (!parsed)
            return fmt::format("{}: key 'keys' in section 'peers': {}", file.source(), reason);
        peers.keys = *parsed;
    }
    peers.seeds.clear();
    for (const std::string &seed : seeds) {
        const auto endpoint = Endpoint::parse(seed);
        if (!endpoint)
            return fmt::format("{}: key 'seeds' in section 'peers': expected IP-NUMBER:PORT, "
                               "found '{}'",
                               file.source(), seed);
        peers.seeds.push_back({endpoint->address, static_cast<std::uint16_t>(port)});
    }
    state.minGateways = std::max<std::size_t>(1, peers.seeds.size());
    state.configBound = fromSeconds(configMs / 1000.0);
    state.watcherElection.staleLimit =
        fromSeconds(std::min(configMs, leaveMs) / 1000.0 * WatcherElection::staleFraction);
    state.watcherElection.hasSeeds = !peers.seeds.empty();
    state.watcherElection.isSeed = std::ranges::any_of(peers.seeds, [this](const Endpoint &seed) {
        return seed.text() == peers.self.address.text();
    });
    return std::nullopt;
}

std::optional<std::string> GatewaySettings::readAddresses(const IniFile &file)
{
    IniReader operatorsReader(file, "operators");
    if (auto error = readEndpoints(file, operatorsReader, "operators", {{"listen", &operators}}))
        return error;
    IniReader storeReader(file, "store");
    return readEndpoints(file, storeReader, "store", {{"address", &store}});
}

std::optional<std::string> GatewaySettings::readPlacement(const IniFile &file)
{
    constexpr double maxMs = 600'000.0; // ms; ten minutes exceeds any deadline
    constexpr double maxValue = 1e6;
    UpstreamTable::Costs &costs = state.costs;
    auto shortPrompt = static_cast<std::int64_t>(costs.maxShortPromptTokens);
    auto strategy = static_cast<std::size_t>(costs.strategy);
    auto groupSize = static_cast<std::int64_t>(state.groupSize);
    double answerMs = toMillis(placement.replyTimeout);
    double reportMs = toMillis(placement.reportInterval);
    double holdMs = toMillis(placement.lessUrgentHold);
    IniReader reader(file, "placement");
    reader.takeNumber("tokens_per_ms", 0.001, maxValue, &costs.tokensPerMs)
        .takeNumber("per_running_ms", 0.0, maxMs, &costs.perRunningRequest)
        .takeNumber("per_queued_ms", 0.0, maxMs, &costs.perQueuedRequest)
        .takeNumber("other_zone_ms", 0.0, maxMs, &costs.crossZone)
        .takeNumber("reread_factor", 0.0, maxValue, &costs.recomputeFactor)
        .takeNumber("fetch_setup_ms", 0.0, maxMs, &costs.fetchSetup)
        .takeNumber("fetch_per_kilotoken_ms", 0.0, maxMs, &costs.fetchPerKiloToken)
        .takeNumber("quiet_part", 0.0, 0.5, &costs.dedicated.minShare)
        .takeNumber("quiet_fill", 0.01, 1.0, &costs.dedicated.targetUtilization)
        .takeNumber("quiet_backlog_ms", 1.0, maxMs, &costs.dedicated.backlogPerEngineMs)
        .takeNumber("per_paused_ms", 0.0, maxMs, &costs.perStalledStream)
        .takeInteger("short_prompt", 0, 1'000'000'000, &shortPrompt)
        .takeNumber("short_outside_ms", 0.0, maxMs, &costs.shortOutsideDedicated)
        .takeNumber("long_in_quiet_ms", 0.0, maxMs, &costs.longInDedicated)
        .takeNumber("other_group_ms", 0.0, maxMs, &costs.crossGroup)
        .takeFlag("group_scheduler", &placement.isEnabled)
        .takeFlag("group_scheduler_for_plain", &placement.schedulesPlainCalls)
        .takeInteger("group_size", 1, 1'000'000, &groupSize)
        .takeNumber("answer_limit_ms", 1.0, 1000.0, &answerMs)
        .takeNumber("report_ms", 10.0, 1000.0, &reportMs)
        .takeNumber("refuse_after_targets", 0.0, 1000.0, &placement.refusal.waitTargets)
        .takeNumber("refuse_urgent_after_targets", 0.0, 1000.0,
                    &placement.refusal.urgentWaitTargets)
        .takeNumber("less_urgent_hold_ms", 0.0, 60'000.0, &holdMs)
        .takeFlag("peer_loads", &costs.usesPeerLoads)
        .takeFlag("prompt_notes", &costs.usesPromptHints);
    reader.takeEnum("strategy", {"cost", "home-only", "least-loaded", "round-robin"}, &strategy);
    costs.strategy = static_cast<UpstreamTable::Strategy>(strategy);
    costs.maxShortPromptTokens = static_cast<TokenCount>(shortPrompt);
    state.groupSize = static_cast<std::size_t>(groupSize);
    placement.replyTimeout = fromSeconds(answerMs / 1000.0);
    placement.reportInterval = fromSeconds(reportMs / 1000.0);
    placement.lessUrgentHold = fromSeconds(holdMs / 1000.0);
    return reader.finish();
}

/// The queue at the schedulers of placement groups. It needs `group_scheduler`.
std::optional<std::string> GatewaySettings::readQueue(const IniFile &file)
{
    constexpr double bytesPerMb = 1e6;
    PlacementQueue::Options &queue = placement.queue;
    auto calls = static_cast<std::int64_t>(queue.bounds.calls);
    double mb = static_cast<double>(queue.bounds.bytes) / bytesPerMb;
    double aheadMs = toMillis(state.costs.room.maxAhead);
    IniReader reader(file, "queue");
    reader.takeFlag("enabled", &queue.isEnabled)
        .takeFlag("plain", &queue.queuesPlainCalls)
        .takeInteger("calls_per_rank", 1, 1'000'000, &calls)
        .takeNumber("mb_per_rank", 0.001, 1e6, &mb)
        .takeNumber("wait_targets", 0.0, 100.0, &queue.waitTargets)
        .takeNumber("ahead_ms", 0.0, 60'000.0, &aheadMs);
    queue.bounds.calls = static_cast<std::size_t>(calls);
    queue.bounds.bytes = static_cast<std::size_t>(mb * bytesPerMb);
    state.costs.room.maxAhead = fromSeconds(aheadMs / 1000.0);
    return reader.finish();
}

std::optional<std::string> GatewaySettings::readEngines(const IniFile &file)
{
    UpstreamSpeeds::Settings &speeds = state.costs.speeds;
    double windowMs = toMillis(speeds.window);
    double priorMs = toMillis(speeds.priorTime);
    double halfLifeSeconds = toSeconds(speeds.halfLife);
    IniReader reader(file, "engines");
    reader.takeFlag("own_speeds", &speeds.isEnabled)
        .takeNumber("speed_window_ms", 100.0, 600'000.0, &windowMs)
        .takeNumber("speed_prior_ms", 1.0, 600'000.0, &priorMs)
        .takeNumber("speed_half_life_s", 0.1, 3600.0, &halfLifeSeconds)
        .takeNumber("slow_below", 0.0, 1.0, &speeds.slowBelow);
    speeds.window = fromSeconds(windowMs / 1000.0);
    speeds.priorTime = fromSeconds(priorMs / 1000.0);
    speeds.halfLife = fromSeconds(halfLifeSeconds);
    return reader.finish();
}

std::optional<std::string> GatewaySettings::readRetries(const IniFile &file)
{
    double windowSeconds = toSeconds(state.retries.window);
    IniReader reader(file, "retries");
    reader.takeNumber("ratio", 0.0, 10.0, &state.retries.ratio)
        .takeNumber("slack", 0.0, 1e6, &state.retries.slack)
        .takeNumber("window_s", 0.1, 3600.0, &windowSeconds);
    state.retries.window = fromSeconds(windowSeconds);
    return reader.finish();
}

/// `for` lists what applies to the deployment: if the key is present, the bounds are in force only
/// if the list contains `pressure`.
std::optional<std::string> GatewaySettings::readPressure(const IniFile &file)
{
    constexpr std::string_view name = "pressure";
    double heldShare = 0.25;
    std::int64_t callKib = 5 << 10;
    std::int64_t socketKib = pressure.socketBufferBytes >> 10;
    std::int64_t receiveKib = 16;
    double stallMs = toMillis(pressure.stallTime);
    double limitMs = toMillis(pressure.stallLimit);
    std::vector<std::string> inForce;
    IniReader reader(file, "pressure");
    reader.takeFlag("enabled", &pressure.isEnabled)
        .takeNumber("held_share", 0.01, 0.9, &heldShare)
        .takeNumber("account_share", 0.01, 0.99, &pressure.bounds.accountShare)
        .takeInteger("call_kib", 64, 1'000'000, &callKib)
        .takeInteger("socket_kib", 0, 1'000'000, &socketKib)
        .takeInteger("receive_kib", 0, 1'000'000, &receiveKib)
        .takeNumber("stall_ms", 100.0, 600'000.0, &stallMs)
        .takeNumber("stall_limit_ms", 1000.0, 600'000.0, &limitMs);
    if (reader.has("for")) {
        reader.takeList("for", &inForce);
        pressure.isEnabled =
            pressure.isEnabled && std::ranges::find(inForce, name) != inForce.end();
    }
    const auto memory = static_cast<double>(mebibytes(static_cast<std::uint64_t>(memoryMb)).value);
    pressure.bounds.process = {static_cast<std::uint64_t>(memory * heldShare)};
    pressure.bounds.call = kibibytes(static_cast<std::uint64_t>(callKib));
    pressure.socketBufferBytes = static_cast<int>(socketKib << 10);
    forwarder.receiveBufferBytes = static_cast<int>(receiveKib << 10);
    pressure.stallTime = fromSeconds(stallMs / 1000.0);
    pressure.stallLimit = fromSeconds(limitMs / 1000.0);
    return reader.finish();
}

/// Usage reporting is disabled unless `duties` contains it.
std::optional<std::string> GatewaySettings::readUsage(const IniFile &file)
{
    constexpr std::string_view duty = "usage";
    std::vector<std::string> duties;
    double windowSeconds = toSeconds(usage.window);
    double leaseMs = toMillis(usage.lease);
    IniReader reader(file, "usage");
    if (!reader.has("duties"))
        return reader.finish();
    reader.takeList("duties", &duties)
        .takeNumber("window_s", 0.1, 86'400.0, &windowSeconds)
        .takeNumber("lease_ms", 100.0, 600'000.0, &leaseMs);
    usage.isEnabled = std::ranges::find(duties, duty) != duties.end();
    usage.window = fromSeconds(windowSeconds);
    usage.lease = fromSeconds(leaseMs / 1000.0);
    return readEndpoints(file, reader, "usage", {{"api", &usageApi}});
}

std::optional<std::string> GatewaySettings::readStreams(const IniFile &file)
{
    constexpr std::int64_t maxTokens = 100'000'000;
    auto runTokens = static_cast<std::int64_t>(backups.maxRunTokens);
    auto runTokensAtRisk = static_cast<std::int64_t>(backups.maxRunTokensAtRisk);
    IniReader reader(file, "streams");
    reader.takeFlag("backups", &backups.isEnabled)
        .takeInteger("backup_max_tokens", 1, maxTokens, &runTokens)
        .takeInteger("backup_max_tokens_at_risk", 1, maxTokens, &runTokensAtRisk)
        .takeNumber("backup_memory_share", 0.0, 1.0, &backups.memoryShare);
    backups.maxRunTokens = static_cast<TokenCount>(runTokens);
    backups.maxRunTokensAtRisk = static_cast<TokenCount>(runTokensAtRisk);
    return reader.finish();
}

std::optional<std::string> GatewaySettings::readStop(const IniFile &file)
{
    double limitSeconds = toSeconds(stopLimit);
    IniReader reader(file, "stop");
    reader.takeNumber("limit_s", 0.1, 3600.0, &limitSeconds);
    stopLimit = fromSeconds(limitSeconds);
    return reader.finish();
}

std::optional<std::string> GatewaySettings::readLogSection(const IniFile &file)
{
    return readLog(file, &logLevel);
}

} // namespace reachlead

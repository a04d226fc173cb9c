// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The border to whatever holds the fleet's configuration and registry.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <reachlead/crashtracker.h>
#include <reachlead/evacuations.h>
#include <reachlead/routing.h>
#include <reachlead/routingdelta.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Another gateway of the fleet.
struct GatewayEntry
{
    VmName vm;
    Endpoint address; ///< of its peer port, TCP and UDP
    MilliCores cores = 0; ///< what its process may use

    bool operator==(const GatewayEntry &other) const
    {
        return vm == other.vm && address.address == other.address.address
            && address.port == other.address.port && cores == other.cores;
    }

    template <class Archive> void serialize(Archive &ar)
    {
        ar(vm, address.address, address.port, cores);
    }
};

/// The list of gateways that the platform keeps, and the platform's revision of its last change.
struct GatewayRoster
{
    std::uint64_t revision = 0; ///< 0: none is known
    std::vector<GatewayEntry> gateways;

    template <class Archive> void serialize(Archive &ar) { ar(revision, gateways); }
};

/// How far a gateway's state goes.
struct StateVersions
{
    std::uint64_t config = 0;
    std::uint64_t registry = 0;
    std::uint64_t registryDigest = 0; ///< as UpstreamDirectory::digest()
    std::uint64_t evacuations = 0; ///< as Evacuations::readRevision()
    std::uint64_t roster = 0; ///< as GatewayRoster::revision

    template <class Archive> void serialize(Archive &ar)
    {
        ar(config, registry, registryDigest, evacuations, roster);
    }
};

/// What one gateway tells another that is behind.
struct StateUpdate
{
    std::optional<RoutingConfig> config; ///< whole, where its change could not be told
    std::optional<RoutingDelta> configChange;
    RegistryUpdate registry;
    EvacuationUpdate evacuations;
    GatewayRoster roster; ///< of revision 0: nothing newer
};

/// Takes what a source reads. Called on the traffic thread.
class FleetSink
{
public:
    virtual ~FleetSink() = default;

    virtual void configRead(RoutingConfig config) = 0;
    virtual void upstreamsListed(std::vector<UpstreamEntry> entries, std::uint64_t revision) = 0;
    virtual void upstreamsChanged(std::vector<UpstreamChange> changes, std::uint64_t revision) = 0;
    virtual void gatewaysChanged(GatewayRoster roster) = 0;

    /// The evacuated zones, all of them, as of the platform's \p revision.
    virtual void evacuationsRead(ZoneSet zones, std::uint64_t revision) = 0;

    /// The registry began or ceased to answer this gateway.
    virtual void contactChanged(bool inContact) = 0;

    /// The registry answered just now, and all that it had was told.
    virtual void caughtUp() = 0;

    /// Requests that end upstreams, as some gateway published them.
    virtual void quarantineRead(std::vector<QuarantinedRequest> requests) = 0;
};

/// Reads configuration and registry, and keeps on following them.
class FleetSource
{
public:
    virtual ~FleetSource() = default;

    /// Begins to follow; \p sink outlives the source.
    virtual void start(FleetSink *sink, const GatewayEntry &self) = 0;

    /// Whether to go on following, or to rest after the first reading until told otherwise.
    virtual void setWatching(bool watches) = 0;

    /// Whether peers tell all that is needed. A first reading that failed is then not repeated.
    virtual void setServedByPeers(bool isServed) = 0;

    /// Keeps the list of gateways where those that start read it, unless it changed since the
    /// revision that \p roster was made from: whoever knows less would else take others off.
    virtual void publish(GatewayRoster roster) = 0;

    /// Keeps a quarantine where gateways that start later read it.
    virtual void publish(const QuarantinedRequest &request) = 0;

    /// Ends all calls.
    virtual void stop() = 0;
};

} // namespace reachlead

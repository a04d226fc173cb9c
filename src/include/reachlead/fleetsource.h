// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the store that holds the fleet's configuration and registry.

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
#include <reachlead/storerevision.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Another gateway of the fleet.
struct GatewayEntry
{
    VmName vm;
    Endpoint address; ///< its peer port, TCP and UDP
    MilliCores cores = 0; ///< CPU share available to its process

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

/// The list of gateways stored by the platform, and the platform's revision of its last change.
struct GatewayRoster
{
    StoreRevision revision; ///< number 0: no list is stored, or none was read yet
    std::vector<GatewayEntry> gateways;
    /// The stored list cannot be read; the last readable one holds until it is replaced.
    bool isUnreadable = false;

    template <class Archive> void serialize(Archive &ar) { ar(revision, gateways); }
};

/// Versions and revisions of the parts of a gateway's state.
struct StateVersions
{
    std::uint64_t config = 0;
    StoreRevision registry;
    std::uint64_t registryDigest = 0; ///< as UpstreamDirectory::digest()
    StoreRevision evacuations; ///< as Evacuations::readRevision()
    StoreRevision roster; ///< as GatewayRoster::revision

    template <class Archive> void serialize(Archive &ar)
    {
        ar(config, registry, registryDigest, evacuations, roster);
    }
};

/// State sent by one gateway to another whose state is older.
struct StateUpdate
{
    std::optional<RoutingConfig> config; ///< whole, if no delta could be computed
    std::optional<RoutingDelta> configChange;
    RegistryUpdate registry;
    EvacuationUpdate evacuations;
    GatewayRoster roster; ///< without a revision: no newer roster
};

/// Receives what a FleetSource reads. Called on the traffic thread.
class FleetSink
{
public:
    virtual ~FleetSink() = default;

    virtual void configRead(RoutingConfig config) = 0;
    virtual void upstreamsListed(std::vector<UpstreamEntry> entries, StoreRevision revision) = 0;
    virtual void upstreamsChanged(std::vector<UpstreamChange> changes, StoreRevision revision) = 0;
    virtual void gatewaysChanged(GatewayRoster roster) = 0;

    /// All evacuated zones as of the platform's \p revision.
    virtual void evacuationsRead(ZoneSet zones, StoreRevision revision) = 0;

    /// The registry started or stopped responding to this gateway.
    virtual void contactChanged(bool inContact) = 0;

    /// The configuration, the registry and the evacuations were current at \p at: all of their
    /// changes until then have been delivered.
    virtual void verified(Time at) = 0;

    /// When the state was last known to be current, by this source or by a peer.
    virtual std::optional<Time> currentAt() const = 0;

    /// Quarantines of requests that crash upstreams, as published by any gateway.
    virtual void quarantineRead(std::vector<Quarantine> quarantines) = 0;

    /// All quarantines that are known by now.
    virtual std::vector<Quarantine> quarantined() const = 0;
};

/// Reads the configuration and the registry and follows their changes.
class FleetSource
{
public:
    virtual ~FleetSource() = default;

    /// Starts to follow; \p sink must outlive the source.
    virtual void start(FleetSink *sink, const GatewayEntry &self) = 0;

    /// Whether to keep following, or to stop after the first read until this is set again.
    virtual void setWatching(bool watches) = 0;

    /// While following, the age of FleetSink::currentAt() from which the source verifies the state.
    virtual void setVerifyAfter(Duration age) = 0;

    /// Whether peers supply the whole state. If so, a failed first read is not retried.
    virtual void setServedByPeers(bool isServed) = 0;

    /// Stores the roster, from which starting gateways learn of the others, unless the stored one
    /// has changed since the revision that \p roster is based on: otherwise a gateway that knows
    /// fewer gateways would remove the others' entries.
    virtual void publish(GatewayRoster roster) = 0;

    /// Stores a quarantine, which gateways that start later read.
    virtual void publish(const Quarantine &quarantine) = 0;

    /// Cancels all calls.
    virtual void stop() = 0;
};

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the platform's service: versioned objects, conditional updates, watches, and the
/// membership list. Its wire format is private to src/objectapi/ and the service's stand-in.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Version of an object; increases with each change of any object. 0: the object does not exist.
enum class ObjectVersion : std::uint64_t { };

/// An object at a given version.
struct PlatformObject
{
    std::string key;
    ObjectVersion version{};
    std::string value;
    bool deleted = false;
};

/// Result of a call to the platform.
enum class PlatformStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< the object has another version; nothing was changed
    Unavailable, ///< the call was not executed, or the result of a read is unknown
    Indeterminate ///< a write may or may not have taken effect; read it back first
};

/// Reply to a call.
struct PlatformReply
{
    PlatformStatus status = PlatformStatus::Unavailable;
    ObjectVersion version{}; ///< of the object, or of the whole store for lists and watches
    std::vector<PlatformObject> objects;
    std::string reason; ///< human-readable, when status is not Ok

    bool ok() const { return status == PlatformStatus::Ok; }
};

/// Role of a VM.
enum class MemberRole : std::uint8_t { Router, Agent };

/// A VM in the membership list.
struct Member
{
    VmName vm;
    MemberRole role = MemberRole::Router;
    ZoneName zone;
    std::string address; ///< IP address
    std::uint16_t port = 0; ///< on which the process accepts peer sessions
    bool leaving = false;
    TargetName target; ///< of an agent; empty: not in the list

    bool operator==(const Member &) const = default;
};

/// The membership list, which may be out of date.
struct MemberList
{
    bool known = false; ///< false: the list could not be read
    std::vector<Member> members;
};

/// Client of the platform's service. An instance is used by one thread.
class Platform
{
public:
    template <class T> using Awaitable = boost::asio::awaitable<T>;

    virtual ~Platform() = default;

    /// Reads one object.
    virtual Awaitable<PlatformReply> get(std::string key) = 0;
    /// Reads all objects whose key begins with \p prefix.
    virtual Awaitable<PlatformReply> list(std::string prefix) = 0;
    /// Writes an object if its version is \p expected; 0: if it does not exist.
    virtual Awaitable<PlatformReply> put(std::string key, std::string value,
                                         ObjectVersion expected) = 0;
    /// Deletes an object if its version is \p expected.
    virtual Awaitable<PlatformReply> remove(std::string key, ObjectVersion expected) = 0;
    /// Waits up to \p wait for changes under \p prefix after \p from; an empty list: there
    /// were none.
    virtual Awaitable<PlatformReply> watch(std::string prefix, ObjectVersion from,
                                           Duration wait) = 0;
    /// Reads the membership list.
    virtual Awaitable<MemberList> members() = 0;
};

} // namespace reachlead

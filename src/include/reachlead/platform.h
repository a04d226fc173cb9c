// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The one narrow interface to the platform's service: objects with versions, conditional
/// updates, watches, and the membership list. Nothing outside src/platform/ knows its wire shape.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The platform's version of an object; rises with each change of any object. 0: does not exist.
enum class ObjectVersion : std::uint64_t { };

/// An object as it stood at a version.
struct PlatformObject
{
    std::string key;
    ObjectVersion version{};
    std::string value;
    bool deleted = false;
};

/// How a call to the platform ended.
enum class PlatformStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< a conditional update met another version; nothing changed
    Unavailable, ///< the call was not taken, or nothing is known of a read
    Indeterminate ///< a write may or may not have taken effect: read back before doing anything
};

/// The answer to a call.
struct PlatformReply
{
    PlatformStatus status = PlatformStatus::Unavailable;
    ObjectVersion version{}; ///< of the object, or of the whole store for lists and watches
    std::vector<PlatformObject> objects;
    std::string reason; ///< for people, when status is not Ok

    bool ok() const { return status == PlatformStatus::Ok; }
};

/// What a VM is for.
enum class MemberRole : std::uint8_t { Router, Agent };

/// One VM of the membership list.
struct Member
{
    VmName vm;
    MemberRole role = MemberRole::Router;
    ZoneName zone;
    std::string address; ///< IP number
    std::uint16_t port = 0; ///< where the process takes peer sessions
    bool leaving = false;
    TargetName target; ///< of an agent; empty: the list does not say

    bool operator==(const Member &) const = default;
};

/// The membership list, which lags.
struct MemberList
{
    bool known = false; ///< false: the list could not be read
    std::vector<Member> members;
};

/// The platform's service. One thread uses an instance.
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
    /// Waits up to \p wait for changes under \p prefix after \p from; an empty list: none came.
    virtual Awaitable<PlatformReply> watch(std::string prefix, ObjectVersion from,
                                           Duration wait) = 0;
    /// Reads the membership list.
    virtual Awaitable<MemberList> members() = 0;
};

} // namespace reachlead

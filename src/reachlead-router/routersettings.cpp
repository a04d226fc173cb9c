// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routersettings.h"

#include "operators/daemon.h"
#include "operators/readsettings.h"

namespace reachlead {

std::optional<std::string> RouterSettings::read(const IniFile &file)
{
    auto fault = unknownSection(file, {"router", "callers", "platform", "operators", "log"});
    if (fault)
        return fault;
    IniReader router(file, "router");
    router.require("vm")
        .require("zone")
        .takeText("vm", &dispatcher.vm.text)
        .takeText("zone", &dispatcher.zone.text)
        .takeText("address", &dispatcher.address)
        .takeDuration("recovery_wait", milliseconds(100), seconds(60),
                      &dispatcher.tuning.recoveryWait)
        .takeDuration("repeatable_wait", milliseconds(10), seconds(60),
                      &dispatcher.tuning.repeatableWait)
        .takeDuration("heartbeat_limit", milliseconds(600), seconds(60),
                      &dispatcher.tuning.heartbeatLimit)
        .takeDuration("stop_notice", Duration::zero(), seconds(60), &stopNotice)
        .takeDuration("stop_limit", seconds(1), seconds(3600), &stopLimit);
    if ((fault = router.finish()))
        return fault;

    auto mostOpen = static_cast<std::int64_t>(callers.mostOpen);
    auto mostConnections = static_cast<std::int64_t>(callers.mostConnections);
    auto largestBody = static_cast<std::int64_t>(callers.largestBody);
    IniReader caller(file, "callers");
    caller.require("listen")
        .takeInteger("most_open", 10, 1'000'000, &mostOpen)
        .takeInteger("most_connections", 10, 1'000'000, &mostConnections)
        .takeInteger("largest_body", 1024, static_cast<std::int64_t>(largestFrame / 2),
                     &largestBody)
        .takeDuration("header_time", milliseconds(100), seconds(600), &callers.headerTime)
        .takeDuration("body_time", milliseconds(100), seconds(600), &callers.bodyTime)
        .takeDuration("idle_time", milliseconds(100), seconds(3600), &callers.idleTime)
        .takeDuration("write_time", milliseconds(100), seconds(600), &callers.writeTime);
    if ((fault = finishWithEndpoint(file, caller, "callers", "listen", &callers.listen)))
        return fault;
    callers.mostOpen = static_cast<std::size_t>(mostOpen);
    callers.mostConnections = static_cast<std::size_t>(mostConnections);
    callers.largestBody = static_cast<std::uint64_t>(largestBody);
    dispatcher.mostOpen = callers.mostOpen;

    IniReader service(file, "platform");
    service.require("service")
        .takeDuration("call_limit", milliseconds(10), seconds(60), &platform.callLimit)
        .takeDuration("watch_wait", milliseconds(100), seconds(300), &platform.watchWait)
        .takeDuration("member_interval", milliseconds(50), seconds(60), &platform.memberInterval)
        .takeDuration("longest_pause", milliseconds(50), seconds(60), &platform.longestPause);
    if ((fault = finishWithEndpoint(file, service, "platform", "service", &platform.service)))
        return fault;
    if ((fault = readOperators(file, &operators)))
        return fault;
    return readLog(file, &logLevel);
}

} // namespace reachlead

// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform thread of an agent: executes the reads and writes of its ClaimTable.

#pragma once

#include <functional>
#include <memory>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/claimtable.h>
#include <reachlead/counters.h>
#include <reachlead/http.h>
#include <reachlead/ringbuffer.h>

namespace reachlead {

/// The public functions may be called from any thread.
class ClaimWriter
{
public:
    struct Options
    {
        TargetName target;
        Endpoint service;
        Duration callTimeout = seconds(1);
        ClaimTuning tuning;
        Counters *counters = nullptr;
    };

    /// \p onCompleted is called on the platform thread with the result of each claim.
    ClaimWriter(Options options, std::function<void(const ClaimCompleted &)> onCompleted);
    ~ClaimWriter();

    void claim(const MakeClaim &claim);
    void release(const ReleaseClaim &release);
    /// Stops the thread; later claims have no effect.
    void join();

private:
    using Change = std::variant<MakeClaim, ReleaseClaim>;
    static constexpr Duration tickInterval = milliseconds(20);

    void push(Change change);
    void applyChanges();
    void executeActions();
    boost::asio::awaitable<void> read(ReadSlots action);
    boost::asio::awaitable<void> write(WriteSlot action);
    boost::asio::awaitable<void> tickLoop();

    Options m_options;
    std::function<void(const ClaimCompleted &)> m_onCompleted;
    ClaimTable m_table;
    std::unique_ptr<Platform> m_platform;
    boost::asio::io_context m_io{1};
    RingBuffer<Change> m_changes;
    std::thread m_thread;
};

} // namespace reachlead

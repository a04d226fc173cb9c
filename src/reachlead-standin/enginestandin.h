// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A simulated model engine: continuous batching, priorities, cancellation, resumption, a prefix
/// cache and fault injection.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/clock.h>
#include <reachlead/http.h>

#include "reachlead-standin/answer.h"

namespace reachlead::standin {

/// Simulated speed and capacity of the engine.
struct EngineSpeed
{
    Duration step = milliseconds(10); ///< time for one token at a batch size of one
    Duration stepPerRequest =
        std::chrono::microseconds(200); ///< added for each further running request
    Duration prefill = milliseconds(20); ///< without a cached prefix
    std::size_t batch = 64; ///< concurrent requests; the rest are queued by priority
    std::size_t cachedPrefixes = 256;
};

/// Faults set by `POST /faults`, as JSON with these names in snake case.
struct EngineFaults
{
    double slow = 1.0; ///< factor applied to the step time
    bool stall = false; ///< generates no tokens
    bool refuse = false; ///< answers 503 to new requests
    std::uint64_t cutAfter =
        0; ///< closes each stream's connection after this many tokens; 0: never
};

class EngineStandin
{
public:
    EngineStandin(boost::asio::io_context &io, const Endpoint &listen, EngineSpeed speed);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    /// One request, queued or running.
    struct Sequence
    {
        AnswerPlan plan;
        std::string requestId;
        std::uint64_t nextToken = 0; ///< index of the next token
        std::uint64_t tokensGenerated = 0;
        int priority = 0;
        std::uint64_t arrivalNumber = 0;
        Time readyAt{}; ///< when its prefill is complete
        std::string out; ///< bytes still to be written to its connection
        bool isComplete = false; ///< all tokens were generated
        bool isAborted = false;
        std::unique_ptr<Timer> wakeTimer;
    };
    using SequencePtr = std::shared_ptr<Sequence>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> stream(boost::asio::ip::tcp::socket &socket, SequencePtr sequence);
    boost::asio::awaitable<void> stepLoop();
    void step();
    void admit(Time now);
    SequencePtr enqueue(const HttpRequest &request);
    HttpResponse servePage(const HttpRequest &request);
    HttpResponse stats() const;
    HttpResponse setFaults(const HttpRequest &request);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    EngineSpeed m_speed;
    EngineFaults m_faults;
    std::list<SequencePtr> m_waiting;
    std::list<SequencePtr> m_running;
    std::list<std::uint64_t> m_cachedPrefixes; ///< most recently used first
    std::map<std::string, std::uint64_t> m_startsByRequest; ///< number of starts, by request id
    std::uint64_t m_arrivalCount = 0;
    std::uint64_t m_completedCount = 0;
    std::uint64_t m_cancelledCount = 0;
    std::uint64_t m_tokenCount = 0;
};

} // namespace reachlead::standin

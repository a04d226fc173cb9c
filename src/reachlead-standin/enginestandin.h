// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small stand-in for a model engine: continuous batching, priorities, cancel, resume, a prefix
/// cache, and faults that can be switched on.

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

/// How fast the engine is.
struct EngineSpeed
{
    Duration step = milliseconds(10); ///< one token for each running request, at a batch of one
    Duration stepPerRequest = std::chrono::microseconds(200); ///< added for each request more
    Duration prefill = milliseconds(20); ///< before the first token, without a cached prefix
    std::size_t batch = 64; ///< requests that run at once; the rest wait by priority
    std::size_t cachedPrefixes = 256;
};

/// Faults by `POST /faults`, as JSON with these names.
struct EngineFaults
{
    double slow = 1.0; ///< factor on the step
    bool stall = false; ///< makes no tokens
    bool refuse = false; ///< answers 503 to new requests
    std::uint64_t cutAfter = 0; ///< ends each stream's connection behind so many tokens; 0: never
};

class EngineStandin
{
public:
    EngineStandin(boost::asio::io_context &io, const Endpoint &listen, EngineSpeed speed);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    /// One request, waiting or running.
    struct Sequence
    {
        AnswerPlan plan;
        std::string requestId;
        std::uint64_t made = 0; ///< index of the next token
        std::uint64_t madeHere = 0;
        int priority = 0;
        std::uint64_t arrival = 0;
        Time readyAt{}; ///< when its prefill is over
        std::string out; ///< bytes to be written to its connection
        bool ended = false; ///< the answer is whole
        bool cut = false;
        std::unique_ptr<Timer> wake;
    };
    using SequencePtr = std::shared_ptr<Sequence>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> stream(boost::asio::ip::tcp::socket &socket, SequencePtr sequence);
    boost::asio::awaitable<void> steps();
    void step();
    void admit(Time now);
    SequencePtr begin(const HttpRequest &ask);
    HttpResponse page(const HttpRequest &ask);
    HttpResponse stats() const;
    HttpResponse setFaults(const HttpRequest &ask);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    EngineSpeed m_speed;
    EngineFaults m_faults;
    std::list<SequencePtr> m_waiting;
    std::list<SequencePtr> m_running;
    std::list<std::uint64_t> m_prefixes; ///< most recently used first
    std::map<std::string, std::uint64_t> m_begun; ///< starts by request id
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace reachlead::standin

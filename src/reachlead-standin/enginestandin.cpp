// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "enginestandin.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <reachlead/completion.h>

namespace reachlead::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr std::size_t cacheKeyBytes = 256;

std::string chunk(std::string_view data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string formatReply(const HttpResponse &reply)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                       reply.status, reply.body.size(), reply.body);
}

/// The text from which the answer is derived: the content of the last message, or the plain prompt.
std::string extractPrompt(const json::object &body)
{
    if (const json::value *prompt = body.if_contains("prompt"); prompt && prompt->is_string())
        return std::string(prompt->get_string());
    const json::value *messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return {};
    const json::value &last = messages->get_array().back();
    const json::value *content =
        last.is_object() ? last.get_object().if_contains("content") : nullptr;
    return content && content->is_string() ? std::string(content->get_string()) : std::string();
}

std::uint64_t numberField(const json::object &body, const char *name)
{
    const json::value *value = body.if_contains(name);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

} // namespace

EngineStandin::EngineStandin(asio::io_context &io, const Endpoint &listen, EngineSpeed speed)
    : m_io(io), m_acceptor(io, tcp::endpoint(asio::ip::make_address(listen.address), listen.port)),
      m_speed(speed)
{
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(io, acceptLoop(), asio::detached);
    asio::co_spawn(io, stepLoop(), asio::detached);
}

asio::awaitable<void> EngineStandin::acceptLoop()
{
    for (;;) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (!ec)
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EngineStandin::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buf;
    http::request<http::string_body> message;
    const auto [ec, n] = co_await http::async_read(socket, buf, message, asTuple);
    if (ec)
        co_return;
    const HttpRequest request{
        std::string(message.method_string()), std::string(message.target()), {}, message.body()};
    const SequencePtr sequence = request.path.starts_with("/v1/") ? enqueue(request) : nullptr;
    if (sequence) {
        const bool isComplete = co_await stream(socket, sequence);
        ++(isComplete ? m_completedCount : m_cancelledCount);
    } else {
        const std::string reply = formatReply(servePage(request));
        co_await asio::async_write(socket, asio::buffer(reply), asTuple);
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

/// Queues a request; null if it is refused or malformed.
EngineStandin::SequencePtr EngineStandin::enqueue(const HttpRequest &request)
{
    json::error_code ec;
    const json::value root = json::parse(request.body, ec);
    if (ec || !root.is_object() || m_faults.refuse)
        return nullptr;
    const json::object &body = root.get_object();
    const std::string prompt = extractPrompt(body);
    auto sequence = std::make_shared<Sequence>();
    sequence->plan = planAnswer(prompt);
    if (const json::value *id = body.if_contains("request_id"); id && id->is_string())
        sequence->requestId = id->get_string();
    sequence->nextToken = numberField(body, "resume_from");
    sequence->priority = static_cast<int>(numberField(body, "priority"));
    sequence->arrivalNumber = m_arrivalCount++;
    sequence->wakeTimer = std::make_unique<Timer>(m_io);
    ++m_startsByRequest[sequence->requestId];

    const std::uint64_t prefix = XXH64(prompt.data(), std::min(prompt.size(), cacheKeyBytes), 0);
    const auto cached = std::ranges::find(m_cachedPrefixes, prefix);
    const bool isCached = cached != m_cachedPrefixes.end();
    if (isCached)
        m_cachedPrefixes.erase(cached);
    m_cachedPrefixes.push_front(prefix);
    if (m_cachedPrefixes.size() > m_speed.cachedPrefixes)
        m_cachedPrefixes.pop_back();
    sequence->readyAt = RuntimeClock::now() + (isCached ? m_speed.prefill / 10 : m_speed.prefill);
    const auto position = std::ranges::find_if(
        m_waiting, [&](const SequencePtr &it) { return it->priority > sequence->priority; });
    m_waiting.insert(position, sequence);
    return sequence;
}

asio::awaitable<bool> EngineStandin::stream(tcp::socket &socket, SequencePtr sequence)
{
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
    bool isDisconnected = false;
    socket.async_wait(tcp::socket::wait_read,
                      [&isDisconnected, sequence](boost::system::error_code ec) {
                          if (ec == asio::error::operation_aborted)
                              return;
                          isDisconnected = true;
                          sequence->wakeTimer->cancel();
                      });
    bool isComplete = false;
    while (!isDisconnected) {
        out += std::exchange(sequence->out, {});
        if (!out.empty()) {
            const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(out), asTuple);
            out.clear();
            if (ec || isDisconnected)
                break;
            continue;
        }
        if (sequence->isAborted)
            break;
        if (sequence->isComplete) {
            isComplete = true;
            break;
        }
        sequence->wakeTimer->expires_at(Time::max());
        co_await sequence->wakeTimer->async_wait(asTuple);
    }
    m_waiting.remove(sequence);
    m_running.remove(sequence);
    // The handler of the wait above refers to this coroutine frame, so it must run before the frame
    // is destroyed.
    boost::system::error_code ignored;
    if (!isDisconnected) {
        socket.cancel(ignored);
        Timer yieldTimer(m_io, Duration::zero());
        co_await yieldTimer.async_wait(asTuple);
    }
    co_return isComplete;
}

asio::awaitable<void> EngineStandin::stepLoop()
{
    Timer timer(m_io);
    Time next = RuntimeClock::now();
    for (;;) {
        const auto otherRequests =
            static_cast<Duration::rep>(std::max<std::size_t>(m_running.size(), 1) - 1);
        const Duration length = m_speed.step + m_speed.stepPerRequest * otherRequests;
        const auto slowed = std::chrono::duration_cast<Duration>(length * m_faults.slow);
        next = std::max(next + slowed, RuntimeClock::now());
        timer.expires_at(next);
        co_await timer.async_wait(asTuple);
        if (!m_faults.stall)
            step();
    }
}

void EngineStandin::admit(Time now)
{
    auto it = m_waiting.begin();
    while (it != m_waiting.end() && m_running.size() < m_speed.batch) {
        if ((*it)->readyAt > now) {
            ++it;
            continue;
        }
        m_running.push_back(*it);
        it = m_waiting.erase(it);
    }
}

void EngineStandin::step()
{
    admit(RuntimeClock::now());
    auto it = m_running.begin();
    while (it != m_running.end()) {
        Sequence &sequence = **it;
        if (sequence.nextToken < sequence.plan.tokens) {
            const std::string token = answerToken(sequence.plan, sequence.nextToken);
            sequence.out += chunk(fmt::format(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
                token));
            ++sequence.nextToken;
            ++sequence.tokensGenerated;
            ++m_tokenCount;
        }
        sequence.isAborted = m_faults.cutAfter > 0 && sequence.tokensGenerated >= m_faults.cutAfter;
        sequence.isComplete = !sequence.isAborted && sequence.nextToken >= sequence.plan.tokens;
        if (sequence.isComplete)
            sequence.out += chunk("data: [DONE]\n\n") + "0\r\n\r\n";
        sequence.wakeTimer->cancel();
        if (sequence.isComplete || sequence.isAborted)
            it = m_running.erase(it);
        else
            ++it;
    }
}

HttpResponse EngineStandin::servePage(const HttpRequest &request)
{
    if (request.path == "/stats")
        return stats();
    if (request.path == "/faults")
        return setFaults(request);
    return {m_faults.refuse ? 503U : 404U, {}, "{}"};
}

HttpResponse EngineStandin::stats() const
{
    json::object starts;
    for (const auto &[id, n] : m_startsByRequest)
        starts[id] = n;
    return {200,
            {},
            json::serialize(json::object{{"waiting", m_waiting.size()},
                                         {"running", m_running.size()},
                                         {"completed", m_completedCount},
                                         {"cancelled", m_cancelledCount},
                                         {"tokens", m_tokenCount},
                                         {"begun", starts}})};
}

HttpResponse EngineStandin::setFaults(const HttpRequest &request)
{
    json::error_code ec;
    const json::value root = json::parse(request.body, ec);
    if (ec || !root.is_object())
        return {400, {}, "{}"};
    const json::object &object = root.get_object();
    if (const json::value *slow = object.if_contains("slow"))
        m_faults.slow = slow->to_number<double>();
    if (const json::value *stall = object.if_contains("stall"))
        m_faults.stall = stall->as_bool();
    if (const json::value *refuse = object.if_contains("refuse"))
        m_faults.refuse = refuse->as_bool();
    if (object.contains("cut_after"))
        m_faults.cutAfter = numberField(object, "cut_after");
    return {200, {}, "{}"};
}

} // namespace reachlead::standin

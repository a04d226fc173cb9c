// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-load/httpload.h"

#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "reachlead-standin/answer.h"
#include "upstream/enginejson.h"
#include "upstream/sse.h"
#include "upstream/ssecall.h"

namespace reachlead {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

double millisSince(std::chrono::steady_clock::time_point from)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from)
        .count();
}

/// The refusal's kind in an error event, or nothing.
std::string kindIn(const std::string &data)
{
    json::error_code ec;
    const json::value root = json::parse(data, ec);
    if (ec || !root.is_object())
        return {};
    const json::value *error = root.get_object().if_contains("error");
    return error ? json::value_to<std::string>(error->at("kind")) : std::string();
}

} // namespace

std::string HttpLoadReport::json()
{
    json::object kinds;
    for (const auto &[kind, n] : refused)
        kinds[kind] = n;
    const auto times = [](Sample &sample) {
        return json::object{{"p50", sample.quantile(0.5)},
                            {"p95", sample.quantile(0.95)},
                            {"p99", sample.quantile(0.99)}};
    };
    return json::serialize(json::object{{"started", started},
                                        {"whole", whole},
                                        {"wrong", wrong},
                                        {"cut", cut},
                                        {"refused", kinds},
                                        {"tokens", tokens},
                                        {"seconds", seconds},
                                        {"requests_per_s", static_cast<double>(whole) / seconds},
                                        {"tokens_per_s", static_cast<double>(tokens) / seconds},
                                        {"first_token_ms", times(firstToken)},
                                        {"between_tokens_ms", times(betweenTokens)}});
}

HttpLoadReport HttpLoad::run()
{
    const auto begin = Clock::now();
    if (m_plan.rate > 0)
        asio::co_spawn(m_io, openLoop(), asio::detached);
    else
        asio::co_spawn(m_io, closedLoop(), asio::detached);
    if (m_plan.progress)
        asio::co_spawn(m_io, report(), asio::detached);
    m_io.run();
    m_report.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    return std::move(m_report);
}

asio::awaitable<void> HttpLoad::openLoop()
{
    std::exponential_distribution<double> gap(m_plan.rate);
    asio::steady_timer timer(m_io);
    auto due = Clock::now();
    const auto end = due + m_plan.length;
    for (;;) {
        due += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(gap(m_random)));
        if (due >= end)
            co_return;
        timer.expires_at(due);
        co_await timer.async_wait(quietly);
        asio::co_spawn(m_io, request(due, m_next++), asio::detached);
    }
}

asio::awaitable<void> HttpLoad::closedLoop()
{
    const auto end = Clock::now() + m_plan.length;
    const auto keepOpen = [this, end]() -> asio::awaitable<void> {
        while (Clock::now() < end)
            co_await request(Clock::now(), m_next++);
    };
    asio::steady_timer timer(m_io);
    for (std::size_t n = 0; n < m_plan.streams; ++n) {
        asio::co_spawn(m_io, keepOpen, asio::detached);
        // A slow start, so that the connections do not all come at once.
        timer.expires_after(std::chrono::microseconds(500));
        co_await timer.async_wait(quietly);
    }
    while (m_open > 0 || Clock::now() < end) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(quietly);
    }
}

asio::awaitable<void> HttpLoad::report()
{
    asio::steady_timer timer(m_io);
    do {
        timer.expires_after(std::chrono::seconds(1));
        co_await timer.async_wait(quietly);
        std::cerr << fmt::format("open={} started={} whole={} wrong={} cut={} tokens={}\n", m_open,
                                 m_report.started, m_report.whole, m_report.wrong, m_report.cut,
                                 m_report.tokens);
    } while (m_open > 0);
}

HttpRequest HttpLoad::askFor(const std::string &prompt) const
{
    HttpRequest ask;
    ask.method = "POST";
    ask.path = "/v1/chat/completions";
    ask.body = fmt::format(
        R"({{"model":"{}","stream":true,"messages":[{{"role":"user","content":"{}"}}]}})",
        m_plan.model, prompt);
    if (!m_plan.key.empty())
        ask.headers.push_back({"Authorization", "Bearer " + m_plan.key});
    if (!m_plan.cls.empty())
        ask.headers.push_back({"Reachlead-Class", m_plan.cls});
    return ask;
}

asio::awaitable<void> HttpLoad::request(Clock::time_point due, std::uint64_t number)
{
    ++m_report.started;
    ++m_open;
    const std::string prompt = fmt::format("load {}-{} #{}", m_plan.seed, number, m_plan.tokens);
    const std::string expected = standin::completeText(standin::planAnswer(prompt));
    SseCall call(m_io.get_executor(), m_plan.targets[number % m_plan.targets.size()], {});
    std::string reason = co_await call.connect();
    if (reason.empty()) {
        HttpRequest ask = askFor(prompt);
        reason = co_await call.send(std::move(ask));
    }
    std::string text;
    bool done = false;
    if (!reason.empty()) {
        ++m_report.refused["no-connection"];
    } else if (call.status() != 200) {
        const std::string kind = call.header("Reachlead-Kind");
        ++m_report.refused[kind.empty() ? std::to_string(call.status()) : kind];
    } else {
        SseDecoder decoder;
        auto last = Clock::now();
        for (;;) {
            const std::string_view bytes = co_await call.readSome(&reason);
            if (bytes.empty())
                break;
            for (const std::string &data : decoder.feed(bytes)) {
                EngineEvent event = parseEngineEvent(data);
                if (event.kind == EngineEvent::Kind::Malformed)
                    ++m_report.refused[kindIn(data)];
                done = done || event.kind == EngineEvent::Kind::Done;
                if (event.kind != EngineEvent::Kind::Text)
                    continue;
                if (text.empty())
                    m_report.firstToken.add(millisSince(due));
                else
                    m_report.betweenTokens.add(millisSince(last));
                last = Clock::now();
                text += event.text;
                ++m_report.tokens;
            }
        }
        note(text, expected, done && call.isComplete() && decoder.fault().empty());
    }
    --m_open;
}

void HttpLoad::note(const std::string &text, const std::string &expected, bool done)
{
    if (!expected.starts_with(text) || (done && text != expected))
        ++m_report.wrong;
    else if (done)
        ++m_report.whole;
    else
        ++m_report.cut;
}

} // namespace reachlead

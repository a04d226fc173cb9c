// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/counters.h>

#include <fmt/format.h>

namespace reachlead {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Counter::Size)> countNames{
    "requests_accepted",
    "requests_completed",
    "dispatched",
    "tokens_delivered",
    "tokens_wasted",
    "stale_frames",
    "hostile_frames",
    "sessions_opened",
    "sessions_lost",
    "queries",
    "reattached",
    "resumed",
    "preempted",
    "forbidden_transitions",
    "heartbeats_sent",
    "heartbeats_heard",
    "settings_applied",
    "settings_stale",
    "claim_writes",
    "claims_made",
    "upstream_cancels",
    "platform_calls",
    "platform_failures",
    "ring_full",
    "orders_taken",
    "orders_fenced",
    "placements_answered",
    "placements_unanswered",
    "placements_given",
    "placements_declined",
    "entries_unreadable",
    "usage_windows_sent",
    "usage_sends_failed",
    "usage_takeovers",
    "upstreams_ended",
    "quarantines_begun",
    "limits_heard",
    "limit_shares_requested",
    "limit_shares_lent",
    "limit_shares_borrowed",
    "leaving_heard",
    "backoffs_heard",
    "store_restores",
    "streams_resumed",
    "streams_unknown",
    "streams_evicted",
    "stream_batches_written",
    "stream_batches_failed",
    "stream_archive_reads",
    "quarantines_released",
    "callers_stalled",
    "reads_paused",
    "calls_queued",
    "calls_granted",
    "calls_withdrawn",
    "calls_handed_back",
    "places_kept",
    "places_taken",
    "queue_schedulers_lost",
    "runs_backed_up",
    "runs_continued",
    "runs_not_continued",
    "upstreams_slow",
    "feeds_overdue",
    "watch_answers_lost",
    "state_behind",
    "peer_datagrams_sent",
    "peer_datagrams_unsent",
    "peer_datagrams_received",
    "peer_datagrams_superseded",
    "revisions_rejected",
    "answers_rejected",
    "connections_yielded"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Gauge::Size)> gaugeNames{
    "open_connections", "open_requests",
    "queued",           "running",
    "window",           "sessions",
    "settings_version", "draining",
    "held_bytes",       "calls_waiting_for_room",
    "waiting_calls",    "kept_places",
    "slow_upstreams",   "state_age_ms",
    "loop_lag_ms",      "peer_delay_ms",
    "peer_batch"};

} // namespace

void Counters::add(Counter c, std::uint64_t n)
{
    m_counts[static_cast<std::size_t>(c)].fetch_add(n, std::memory_order_relaxed);
}

void Counters::refused(ErrorKind kind)
{
    m_refused[static_cast<std::size_t>(kind)].fetch_add(1, std::memory_order_relaxed);
}

void Counters::retried(ErrorKind kind)
{
    m_retried[static_cast<std::size_t>(kind)].fetch_add(1, std::memory_order_relaxed);
}

void Counters::rejected(EventFault fault)
{
    m_rejected[static_cast<std::size_t>(fault)].fetch_add(1, std::memory_order_relaxed);
}

void Counters::set(Gauge g, std::int64_t value)
{
    m_gauges[static_cast<std::size_t>(g)].store(value, std::memory_order_relaxed);
}

void Counters::adjust(Gauge g, std::int64_t by)
{
    m_gauges[static_cast<std::size_t>(g)].fetch_add(by, std::memory_order_relaxed);
}

std::uint64_t Counters::value(Counter c) const
{
    return m_counts[static_cast<std::size_t>(c)].load(std::memory_order_relaxed);
}

std::uint64_t Counters::refusedCount(ErrorKind kind) const
{
    return m_refused[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
}

std::uint64_t Counters::retriedCount(ErrorKind kind) const
{
    return m_retried[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
}

std::uint64_t Counters::rejectedCount(EventFault fault) const
{
    return m_rejected[static_cast<std::size_t>(fault)].load(std::memory_order_relaxed);
}

std::int64_t Counters::value(Gauge g) const
{
    return m_gauges[static_cast<std::size_t>(g)].load(std::memory_order_relaxed);
}

std::string Counters::page() const
{
    fmt::memory_buffer buf;
    auto out = fmt::appender(buf);
    for (std::size_t n = 0; n < countNames.size(); ++n) {
        fmt::format_to(out, "# TYPE reachlead_{0}_total counter\nreachlead_{0}_total {1}\n",
                       countNames[n], m_counts[n].load(std::memory_order_relaxed));
    }
    for (std::size_t n = 0; n < gaugeNames.size(); ++n) {
        fmt::format_to(out, "# TYPE reachlead_{0} gauge\nreachlead_{0} {1}\n", gaugeNames[n],
                       m_gauges[n].load(std::memory_order_relaxed));
    }
    const auto writeReasons = [&out](std::string_view name, const auto &cells) {
        fmt::format_to(out, "# TYPE reachlead_{}_total counter\n", name);
        for (std::size_t n = 1; n < cells.size(); ++n) {
            fmt::format_to(out, "reachlead_{}_total{{reason=\"{}\"}} {}\n", name,
                           errorRow(static_cast<ErrorKind>(n)).name,
                           cells[n].load(std::memory_order_relaxed));
        }
    };
    writeReasons("refused", m_refused);
    writeReasons("retried", m_retried);
    fmt::format_to(out, "# TYPE reachlead_events_rejected_total counter\n");
    for (std::size_t n = 0; n < m_rejected.size(); ++n) {
        fmt::format_to(out, "reachlead_events_rejected_total{{fault=\"{}\"}} {}\n",
                       toString(static_cast<EventFault>(n)),
                       m_rejected[n].load(std::memory_order_relaxed));
    }
    return fmt::to_string(buf);
}

} // namespace reachlead

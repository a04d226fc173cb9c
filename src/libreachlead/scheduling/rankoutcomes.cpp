// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/scheduling/rankoutcomes.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <reachlead/log.h>

namespace reachlead {

void RankOutcomes::add(const CallOutcome &outcome)
{
    if (m_services.size() >= maxServices && !m_services.contains(outcome.service))
        return;
    Tally &tally = m_services[outcome.service][outcome.urgencyRank];
    if (outcome.hasBegun) {
        ++tally.begun;
        tally.resumed += outcome.isResumption ? 1 : 0;
        tally.begunTokens += outcome.tokens;
        return;
    }
    ++tally.unserved;
    tally.unservedTokens += outcome.tokens;
    ++tally.reasons[outcome.kind];
}

std::map<ServiceName, RankOutcomes::Ranks> RankOutcomes::take(Time now)
{
    if (!m_takenAt)
        m_takenAt = now;
    if (now < *m_takenAt + interval)
        return {};
    m_takenAt = now;
    std::map<ServiceName, Ranks> services = std::exchange(m_services, {});
    std::erase_if(services, [](const auto &service) {
        return std::ranges::none_of(service.second | std::views::values,
                                    [](const Tally &tally) { return tally.unserved > 0; });
    });
    return services;
}

void logRankOutcomes(const std::map<ServiceName, RankOutcomes::Ranks> &services)
{
    for (const auto &[service, ranks] : services) {
        for (const auto &[rank, tally] : ranks) {
            std::vector<std::string> reasons;
            std::ranges::transform(
                tally.reasons, std::back_inserter(reasons), [](const auto &reason) {
                    return fmt::format("{}:{}", errorRow(reason.first).name, reason.second);
                });
            LogLine(LogLevel::Info, "rank-outcomes")
                .with("service", service.text)
                .with("rank", rank)
                .with("begun", tally.begun)
                .with("resumed", tally.resumed)
                .with("begun_tokens", tally.begunTokens)
                .with("unserved", tally.unserved)
                .with("unserved_tokens", tally.unservedTokens)
                .with("reasons", fmt::format("{}", fmt::join(reasons, "+")));
        }
    }
}

} // namespace reachlead

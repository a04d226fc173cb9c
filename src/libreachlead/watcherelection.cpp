// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/watcherelection.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace reachlead {

namespace {

std::uint64_t watcherHash(const VmName &vm)
{
    return XXH64(vm.text.data(), vm.text.size(), 0);
}

} // namespace

std::size_t rendezvousPosition(const VmName &self, const std::set<VmName> &others)
{
    const std::uint64_t ownHash = watcherHash(self);
    return static_cast<std::size_t>(
        std::ranges::count_if(others, [&](const VmName &vm) { return watcherHash(vm) < ownHash; }));
}

std::vector<VmName> rendezvousPeers(const VmName &self, const std::set<VmName> &others,
                                    std::size_t n)
{
    const std::uint64_t seed = watcherHash(self);
    std::vector<std::pair<std::uint64_t, VmName>> scored;
    scored.reserve(others.size());
    for (const VmName &vm : others)
        scored.emplace_back(XXH64(vm.text.data(), vm.text.size(), seed), vm);
    std::ranges::sort(scored);
    scored.resize(std::min(n, scored.size()));
    std::vector<VmName> first;
    std::ranges::transform(scored, std::back_inserter(first), [](auto &it) { return it.second; });
    return first;
}

void WatcherElection::confirmed(Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

Duration WatcherElection::verifyAfter(const std::set<VmName> &others) const
{
    const std::size_t position = rendezvousPosition(m_self, others);
    const double fraction = verifyFractions.at(std::min(position, verifyFractions.size() - 1));
    return fromSeconds(toSeconds(m_options.staleLimit) * fraction);
}

bool WatcherElection::isWatcher(const std::set<VmName> &others, Time now) const
{
    const std::size_t position = rendezvousPosition(m_self, others);
    const bool isFirst = position < watcherCount;
    const double fraction =
        isFirst ? 0.0 : static_cast<double>(position) / static_cast<double>(others.size());
    const Duration wait =
        fromSeconds(toSeconds(m_options.staleLimit) * maxStaggerFraction * fraction);
    if (isStale(now - wait))
        return true;
    const bool isStarting = now < m_startedAt + m_options.staleLimit;
    if (isStarting && m_options.hasSeeds)
        return m_options.isSeed;
    return isFirst && !(isStarting && others.empty());
}

} // namespace reachlead

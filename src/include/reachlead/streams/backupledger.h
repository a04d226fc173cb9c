// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The copies of runs that engines hold for one gateway.

#pragma once

#include <map>
#include <memory>

#include <reachlead/headercodec.h>
#include <reachlead/upstreamid.h>

namespace reachlead {

/// Counts the tokens that the copies of runs may occupy at each engine. Not thread-safe.
class BackupLedger
{
    using Tokens = std::map<UpstreamId, TokenCount>;

public:
    /// Its tokens are released with the last copy of it.
    class Reservation
    {
    public:
        Reservation(const BackupLedger &ledger, UpstreamId engine, TokenCount tokens)
            : m_engine(std::move(engine)),
              m_release(ledger.m_reserved.get(),
                        [reserved = ledger.m_reserved, id = m_engine, tokens](Tokens * /*it*/) {
                            const auto it = reserved->find(id);
                            it->second -= tokens;
                            if (it->second == 0)
                                reserved->erase(it);
                        })
        {
            (*ledger.m_reserved)[m_engine] += tokens;
        }

        const UpstreamId &engine() const { return m_engine; }

    private:
        UpstreamId m_engine;
        std::shared_ptr<Tokens> m_release;
    };

    /// Tokens reserved at an engine.
    TokenCount reserved(const UpstreamId &engine) const
    {
        const auto it = m_reserved->find(engine);
        return it == m_reserved->end() ? 0 : it->second;
    }

    /// Engines with reservations.
    std::size_t engineCount() const { return m_reserved->size(); }

private:
    /// Shared with the reservations, as the last calls are destroyed with the event loop.
    std::shared_ptr<Tokens> m_reserved = std::make_shared<Tokens>();
};

} // namespace reachlead

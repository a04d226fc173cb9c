// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/requestqueue.h>

#include "fifoqueue.h"
#include "tieredqueue.h"

namespace reachlead {

std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrder order, const PoliciesPtr &policies)
{
    switch (order) {
    case QueueOrder::Fifo:
        return std::make_unique<pvt::FifoQueue>(policies, pvt::FifoQueue::Tiers::Mixed);
    case QueueOrder::StrictTier:
        return std::make_unique<pvt::FifoQueue>(policies, pvt::FifoQueue::Tiers::Strict);
    case QueueOrder::TieredFair:
        break;
    }
    return std::make_unique<pvt::TieredQueue>(policies);
}

} // namespace reachlead

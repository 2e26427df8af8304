#pragma once

#include "poplarpitch/relay/relay_order_key.h"
#include "poplarpitch/scheduling/worker_order.h"

namespace poplarpitch {

/// Outcome of a relayed order. Only the answer to a hold order has lists.
struct relayed_outcome {
    relay_order_key order;
    order_outcome outcome;

    friend bool operator==(const relayed_outcome&, const relayed_outcome&) = default;
};

} // namespace poplarpitch

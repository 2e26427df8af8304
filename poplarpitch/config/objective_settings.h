#pragma once

#include <compare>

namespace poplarpitch {

/// `[objective]`: what the operators weigh; the ring and the association differ only here.
struct objective_settings {
    double tail = 1.0;       ///< weight of predicted slowdown of interactive services
    double throughput = 1.0; ///< weight of batch work done
    double evictions = 1.0;  ///< weight of one eviction

    friend auto operator<=>(const objective_settings&, const objective_settings&) = default;
};

} // namespace poplarpitch

#pragma once

#include <compare>

namespace poplarpitch {

/// `[objective]`: weights of the placement objective. The ring and association deployments differ only here.
struct objective_settings {
    double tail = 1.0;       ///< weight of predicted slowdown of interactive services
    double throughput = 1.0; ///< weight of completed batch work
    double evictions = 1.0;  ///< weight of one eviction

    friend auto operator<=>(const objective_settings&, const objective_settings&) = default;
};

} // namespace poplarpitch

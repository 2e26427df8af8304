#pragma once

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// A worker as input to routing: a row of a dense table.
struct routing_candidate {
    float factor = 1; ///< expected time relative to a typical worker: speed times interference
    std::int32_t free_slots = 0;
    std::int32_t total_slots = 0;
    std::int32_t outstanding = 0; ///< requests in flight
    bool is_local = true;         ///< same data centre as the entry

    friend auto operator<=>(const routing_candidate&, const routing_candidate&) = default;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// Bounds on what a leader records of what it has learned.
struct learned_state_settings {
    duration interval = seconds{2};     ///< between two records of one part
    duration max_age = seconds{60};     ///< older records describe a load that has passed
    std::size_t max_part_bytes = 8'192; ///< of one part's body; all parts together stay under 64 KB
    double bytes_per_second = 4'096;    ///< mean rate of all records
    double max_burst_bytes = 16'384;    ///< that may be written at once after a pause

    friend auto operator<=>(const learned_state_settings&, const learned_state_settings&) = default;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace poplarpitch {

/// How scarce room is shared between queues and data centres of callers.
struct fair_share_settings {
    duration half_life = seconds{10}; ///< of the use: longer than bursts, which last 4 to 6 s
    duration max_delay = seconds{2};  ///< by which the correction may delay a step
    std::size_t max_keys = 256;       ///< whose use is kept; the least use is dropped first
    std::size_t max_debts = 4096;     ///< of each kind of room; the order is not changed while there are more
    std::map<std::string, double> weights; ///< by queue, positive; a queue that is not listed has 1

    friend auto operator<=>(const fair_share_settings&, const fair_share_settings&) = default;
};

} // namespace poplarpitch

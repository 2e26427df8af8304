#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstddef>

namespace poplarpitch {

/// When jobs that end are refused because they would be completed too late.
struct admission_policy_settings {
    double late_multiple = 3;       ///< of the objective: a result that comes later is worth nothing
    double sound_share = 0.8;       ///< of the late limit: refusal ends when forecasts are below it
    duration patience = seconds{1}; ///< forecasts must be past the limit for this long, so that a burst of
                                    ///< a second refuses nobody
    duration min_retry_after = seconds{1};
    duration max_retry_after = seconds{300}; ///< three times the load that fits for two minutes; with less,
                                             ///< all callers past the bound return at the same rate again
    duration early_return =
        milliseconds{250}; ///< a caller may return this much too early: clocks and timers differ
    duration promise_lifetime = seconds{30}; ///< after the promised time
    std::size_t max_promises = 4096;

    friend auto operator<=>(const admission_policy_settings&, const admission_policy_settings&) = default;
};

} // namespace poplarpitch

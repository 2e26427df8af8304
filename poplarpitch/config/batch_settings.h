#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <string>

namespace poplarpitch {

/// `[batch NAME]`: one class of batch jobs. Its sizes are priors until better estimates are learned from
/// reports.
struct batch_settings {
    std::string name;
    resources demand{0, 1000, 1LL << 30, 0}; ///< default size of a task
    duration run_time = seconds{60};         ///< default expected run time
    bool idempotent = true;                  ///< false: never rerun when the outcome is unknown
    bool urgent = false;                     ///< placed first and may evict others
    double noise = 0.2;                      ///< prior of the slowdown that it causes, 0 to 1

    friend bool operator==(const batch_settings&, const batch_settings&) = default;
};

} // namespace poplarpitch

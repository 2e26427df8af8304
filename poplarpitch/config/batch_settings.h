#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <string>

namespace poplarpitch {

/// `[batch NAME]`: one class of batch jobs; its sizes are priors until reports teach better ones.
struct batch_settings {
    std::string name;
    resources need{0, 1000, 1LL << 30, 0}; ///< default size of a task
    duration run_time = seconds{60};       ///< default expected run time
    bool idempotent = true;                ///< false: never run again when the outcome is unknown
    bool urgent = false;                   ///< goes first and may displace others
    double noise = 0.2;                    ///< prior for the slowdown it causes, 0 to 1

    friend bool operator==(const batch_settings&, const batch_settings&) = default;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// Duration of one stage in the life of a job, for histograms.
struct job_timing {
    enum class kind : std::uint8_t {
        first_start, ///< from acceptance to the first start
        completed,   ///< from acceptance to the last end
        failed,
        cancelled,
        forecast_error, ///< of a completed job: the absolute error of its forecast as a share of the time
                        ///< that it took; 1 s stands for a share of 1
    };
    kind what = kind::first_start;
    std::string queue;
    duration length{};
    bool is_in_time = false; ///< within the objective, by the caller's estimates

    friend auto operator<=>(const job_timing&, const job_timing&) = default;
};

} // namespace poplarpitch

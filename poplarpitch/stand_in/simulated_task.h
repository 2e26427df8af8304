#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// A task that the stand-in pretends to run.
struct simulated_task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string batch;
    std::string payload;
    resources reserved;
    std::int64_t declared_millicores = 0; ///< what its submitter said that it takes
    duration total{};                     ///< work on an ordinary worker
    duration declared{};
    duration done{};  ///< work done, checkpoints of earlier attempts included
    duration saved{}; ///< work in the last checkpoint
    bool is_throttled = false;
    time_point lease_end{};
    time_point updated{}; ///< when `done` was last brought up to date

    friend bool operator==(const simulated_task&, const simulated_task&) = default;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/resources.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// A task that the stand-in worker simulates.
struct simulated_task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string batch;
    std::string payload;
    resources reserved;
    std::int64_t declared_millicores = 0; ///< processor demand that the submitter declared
    duration total{};                     ///< run time on a worker of normal speed
    duration declared{};                  ///< run time that the submitter declared
    duration done{};  ///< completed part of `total`, including checkpoints of earlier attempts
    duration saved{}; ///< part of `done` that the last checkpoint contains
    bool is_throttled = false;
    time_point lease_end{};
    time_point updated{}; ///< when `done` was last updated

    friend bool operator==(const simulated_task&, const simulated_task&) = default;
};

} // namespace poplarpitch

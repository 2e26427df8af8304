#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch {

/// One run of a task at a simulated worker, as that worker saw it.
struct run_interval {
    std::string task;
    std::uint32_t run = 0;
    std::string worker; ///< description of the worker, which starts with the name of its machine
    time_point start{};
    std::optional<time_point> end; ///< nothing while the run is active

    friend bool operator==(const run_interval&, const run_interval&) = default;
};

} // namespace poplarpitch

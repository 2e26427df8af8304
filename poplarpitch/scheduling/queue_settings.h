#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch {

/// How the service that names the workers allowed for a step answers for one queue.
struct advice_settings {
    duration decide{}; ///< fixed part of an answer's time
    duration each{};   ///< for each worker named
    duration valid{};  ///< how long a ticket holds

    friend auto operator<=>(const advice_settings&, const advice_settings&) = default;
};

/// A queue of jobs as the operators configured it.
struct queue_settings {
    std::string name;
    std::string host;               ///< of the callers' requests
    std::string prefix;             ///< of their paths
    std::string pool;               ///< whose workers run the tasks
    int priority = 0;               ///< 0 goes first
    std::uint32_t max_attempts = 1; ///< a task that failed this often fails its job
    double stretch = 1.0;           ///< the objective allows this multiple of the longest chain of work
    duration target_latency{};      ///< and this much more
    duration timeout{};             ///< of a caller's request
    std::optional<advice_settings> advice; ///< set: only workers with a ticket may run a step

    friend auto operator<=>(const queue_settings&, const queue_settings&) = default;
};

} // namespace poplarpitch

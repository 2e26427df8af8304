#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace poplarpitch {

/// Response times and ticket validity of the advice service for one queue. The service tells which workers
/// are allowed to run a step.
struct advice_settings {
    duration base_time{};       ///< fixed part of the response time
    duration time_per_worker{}; ///< additional response time for each worker in the request
    duration ticket_validity{}; ///< validity of a ticket

    friend auto operator<=>(const advice_settings&, const advice_settings&) = default;
};

/// A job queue as configured by the operators.
struct queue_settings {
    std::string name;
    std::string host;                      ///< host name in the callers' requests
    std::string prefix;                    ///< prefix of the paths in the callers' requests
    std::string pool;                      ///< pool whose workers run the tasks
    int priority = 0;                      ///< 0 is served first
    std::uint32_t max_attempts = 1;        ///< a task that fails this often fails its job
    double latency_factor = 1.0;           ///< the objective allows this multiple of the critical path
    duration target_latency{};             ///< and this time on top
    duration timeout{};                    ///< of a caller's request
    std::optional<advice_settings> advice; ///< if set, only workers with a ticket may run a step

    friend auto operator<=>(const queue_settings&, const queue_settings&) = default;

    /// Returns a hash of host and prefix, which name the queue to callers. It is the same on all instances.
    /// Thread safety: any thread.
    [[nodiscard]] std::uint64_t get_hash() const;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// How a worker restarts after a crash.
enum class worker_restart_mode : std::uint8_t {
    new_id,  ///< under a new id, without reporting its start time
    same_id, ///< under the same id, reporting its start time
};

/// Behaviour of the simulated workers where the platform's page leaves it open.
struct worker_behaviour {
    std::uint64_t seed = 1;
    worker_restart_mode restart_mode = worker_restart_mode::new_id;
    bool has_random_ids = false;               ///< ids are `i-` and eight hex digits, not numbered names
    int slots = 0;                             ///< highest number of tasks per worker; 0 for no limit
    std::vector<std::string> zones = {"here"}; ///< worker by worker, in turn
    duration shortest_run = milliseconds{200};
    duration longest_run = milliseconds{200};
    duration longest_stop{};             ///< a stopped run goes on for up to this
    duration max_lease = seconds{10};    ///< a longer one is shortened to this
    double slowest_clock = 1.0;          ///< each worker's clock runs at a rate between this and 1
    duration idle_timeout = seconds{30}; ///< connections that are idle are closed after this
    int failed_run_percent = 0;          ///< runs that end as failed
    int late_answer_percent = 0;         ///< orders executed at once and answered late
    int unanswered_order_percent = 0;    ///< orders executed at once and never answered in time
    int late_order_percent = 0;          ///< orders executed late and never answered in time
    int disconnect_percent = 0;          ///< orders after which the worker closes all connections
    int late_list_percent = 0;           ///< answers to holds that are sent late
    int late_heartbeat_percent = 0;      ///< heartbeats repeated late to another instance
    duration longest_delay = seconds{3}; ///< upper bound of the delays of late orders, answers and heartbeats
};

} // namespace poplarpitch

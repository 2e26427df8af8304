#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// How a worker that crashed comes back.
enum class worker_restart_mode : std::uint8_t {
    new_id,  ///< and says nothing of its start time
    same_id, ///< and tells its start time
};

/// How stand-in workers behave where the platform's page leaves it open. Chances are of 100.
struct worker_behaviour {
    std::uint64_t seed = 1;
    worker_restart_mode restart_mode = worker_restart_mode::new_id;
    bool has_random_ids = false;               ///< `i-` and eight hex digits, instead of a counted name
    int slots = 0;                             ///< tasks that it takes, or 0 for as many as it is given
    std::vector<std::string> zones = {"here"}; ///< worker by worker, in turn
    duration min_run_time = milliseconds{200};
    duration max_run_time = milliseconds{200};
    duration max_stop_time{};            ///< a stopped run goes on for up to this
    duration max_lease = seconds{10};    ///< a longer one is shortened to this
    double min_clock_rate = 1.0;         ///< each worker's clock runs at a rate between this and 1
    duration idle_timeout = seconds{30}; ///< connections that are idle are closed after this
    int failed_run_percent = 0;          ///< that end as failed
    int late_answer_percent = 0;         ///< orders that are carried out and answered late
    int unanswered_order_percent = 0;    ///< orders that are carried out and never answered
    int late_order_percent = 0;          ///< orders that are carried out late, and never answered
    int disconnect_percent = 0;          ///< orders after which all connections to the worker end
    int late_list_percent = 0;           ///< lists that are written and sent late
    int late_heartbeat_percent = 0;      ///< heartbeats that arrive twice, at another instance and late
    duration max_delay = seconds{3};     ///< of what is late
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarpitch {

/// How a worker that crashed comes back.
enum class worker_rebirth : std::uint8_t {
    new_id,  ///< and says nothing of its start time
    same_id, ///< and tells its start time
};

/// How stand-in workers behave where the platform's page leaves it open. Chances are of 100.
struct worker_habits {
    std::uint64_t seed = 1;
    worker_rebirth rebirth = worker_rebirth::new_id;
    bool has_random_ids = false;               ///< `i-` and eight hex digits, instead of a counted name
    int slots = 0;                             ///< tasks that it takes, or 0 for as many as it is given
    std::vector<std::string> zones = {"here"}; ///< worker by worker, in turn
    duration shortest_run = milliseconds{200};
    duration longest_run = milliseconds{200};
    duration longest_stop{};              ///< a stopped run goes on for up to this
    duration longest_lease = seconds{10}; ///< a longer one is shortened to this
    double slowest_clock = 1.0;           ///< each worker's clock runs at a rate between this and 1
    duration idle_timeout = seconds{30};  ///< connections that are idle are closed after this
    int failed_runs = 0;                  ///< that end as failed
    int late_answers = 0;                 ///< orders that are carried out and answered late
    int unanswered_orders = 0;            ///< orders that are carried out and never answered
    int late_orders = 0;                  ///< orders that are carried out late, and never answered
    int cut_orders = 0;                   ///< orders after which all connections to the worker end
    int late_lists = 0;                   ///< lists that are written and sent late
    int late_beats = 0;                   ///< heartbeats that arrive twice, at another instance and late
    duration longest_delay = seconds{3};  ///< of what is late
};

} // namespace poplarpitch

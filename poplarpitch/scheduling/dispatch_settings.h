#pragma once

#include "poplarpitch/core/time.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Limits and times of the leader's dispatcher. The deployment's values come from its settings file.
struct dispatch_settings {
    duration lease = seconds{7}; ///< of the runs on a worker; outlasts an election and a restart of all
                                 ///< control instances (1 to 5 s); the tasks of a lost worker wait this long
    duration max_lease = seconds{10}; ///< a worker cuts a longer lease to this
    double clock_drift = 0.02;        ///< a worker's clock may be slower by this share
    duration lease_margin =
        milliseconds{250}; ///< on top of the drift, for reading the clocks and for scheduling delays
    duration hold_wait = milliseconds{1000}; ///< longest time that a worker waits for an end before it
                                             ///< answers a hold; also the highest age of reported progress
    duration mixed_hold_wait =
        milliseconds{350}; ///< `hold_wait` where filling tasks run beside serving tasks
    duration hold_pause =
        milliseconds{25}; ///< between an answer and the next hold, so that several ends share one answer
    duration order_timeout =
        milliseconds{900}; ///< a worker answers within milliseconds; an order that hangs is repeated
    duration retry_pause = milliseconds{120}; ///< delay before an order without an answer is repeated
    duration stop_limit = milliseconds{900};  ///< a worker ends a stopped run within this
    duration worker_removal_delay =
        seconds{12}; ///< a worker without heartbeats and runs is removed after this time
    duration lapsed_worker_removal_delay =
        seconds{60}; ///< `worker_removal_delay` where runs of the worker were given up
                     ///< without contact to it: its machine may yet come back
    duration max_capacity_age =
        seconds{2}; ///< how long a report of free capacity counts where the worker does not
                    ///< enforce its capacity: together with an order's time and a late
                    ///< heartbeat less than the 3 s and one heartbeat that users allow
    duration ended_job_retention = seconds{125}; ///< how long the state of an ended job is kept
    double long_running_share =
        0.8; ///< share of a pool that long-running jobs may reserve while others want the
             ///< rest: with 0.75 and 0.82 the total served is the same, above it is less
    duration max_lag = milliseconds{400}; ///< lag of the leader's timers above which new jobs are refused:
                                          ///< half an order's time, so that an accepted job is still started
    std::int64_t max_open_jobs =
        20'000; ///< further jobs are refused: 60 MB of records, an hour of a day's peak

    friend auto operator<=>(const dispatch_settings&, const dispatch_settings&) = default;
};

} // namespace poplarpitch

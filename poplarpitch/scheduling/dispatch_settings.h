#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/decision_settings.h"

#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Limits and times of the leader's dispatcher. The deployment's values come from its settings file.
struct dispatch_settings {
    duration lease = seconds{7}; ///< of the runs on a worker: longer than an election and a restart of all
                                 ///< control instances (1 to 5 s); the tasks of a lost worker wait this long
    duration max_lease = seconds{10}; ///< workers shorten a longer lease to this
    double clock_drift = 0.02;        ///< a worker's clock may be slower by this share
    duration lease_margin =
        milliseconds{250}; ///< on top of the drift, for reading the clocks and for scheduling delays
    duration hold_wait = milliseconds{1000}; ///< maximum time that a worker waits for the end of a run before
                                             ///< it answers a hold; also the maximum age of reported progress
    duration mixed_hold_wait =
        milliseconds{350}; ///< `hold_wait` where filling tasks run beside serving tasks
    duration hold_pause =
        milliseconds{25}; ///< between an answer and the next hold, so that one answer reports several ends
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
        seconds{2}; ///< for how long a report of free capacity is valid if the worker does not
                    ///< enforce its capacity. This, the time of an order and a late heartbeat together
                    ///< are less than the 3 s and one heartbeat interval that users allow
    duration initial_report_time =
        seconds{3}; ///< within which all workers report to a new leader; two heartbeat intervals
    duration ended_job_retention = seconds{125}; ///< how long the state of an ended job is kept
    double long_running_share =
        0.8; ///< share of a pool that long-running jobs may reserve while others want the
             ///< rest: the total work served is the same with 0.75 and 0.82, and less above
    duration max_lag = milliseconds{400}; ///< lag of the leader's timers above which new jobs are refused:
                                          ///< half an order's time, so that an accepted job is still started
    std::int64_t max_open_jobs = 20'000;  ///< further jobs are refused; this many jobs are 60 MB of records,
                                          ///< and an hour of a day's peak load

    decision_settings decisions;

    friend auto operator<=>(const dispatch_settings&, const dispatch_settings&) = default;
};

} // namespace poplarpitch

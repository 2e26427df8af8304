#pragma once

#include "poplarpitch/scheduling/attempt_count.h"
#include "poplarpitch/scheduling/crash_evidence.h"
#include "poplarpitch/scheduling/run_end.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// A change made by a committed command. The leader updates its own state by these events.
struct job_state_event {
    enum class kind : std::uint8_t {
        job_accepted, ///< `run.task.step.job`
        job_ended,    ///< `run.task.step.job`: completed, failed or cancelled
        job_refused,  ///< `run.task.step.job` was cancelled in the queue with the hash `number` before it was
                      ///< submitted
        run_assigned, ///< `run` to `worker`
        run_refused,  ///< `run` was not assigned to `worker`: its job or task had changed, or the worker is
                      ///< retired
        run_ended,    ///< `run` on `worker` ended with `end`; `number` in the worker's list of ends
        attempt_failed, ///< `run` on `worker` ended as failed, which changed `attempts`; follows `run_ended`
        task_crashed,   ///< `worker` crashed under `run`; it is the `number`th crash counted for the task
        step_done,      ///< `run.task.step`
        config_changed,
        worker_retired,       ///< `worker`
        data_centres_changed, ///< other data centres are drained than before
        fence_raised,         ///< orders may now carry a higher fence than any before
    };

    kind what = kind::job_accepted;
    run_key run;
    worker_incarnation worker;
    run_end end = run_end::done;
    std::uint64_t number = 0;                    ///< see the kinds
    crash_evidence crash = crash_evidence::none; ///< of `run_ended` or `task_crashed`
    std::int64_t age_ms = 0;                     ///< how long the run had been on the worker; 0 when unknown
    bool counts_as_attempt = false;              ///< of `run_ended` with the end `failed`
    attempt_count attempts;                      ///< of `attempt_failed`

    friend auto operator<=>(const job_state_event&, const job_state_event&) = default;
};

} // namespace poplarpitch

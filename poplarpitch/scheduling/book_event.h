#pragma once

#include "poplarpitch/scheduling/crash_evidence.h"
#include "poplarpitch/scheduling/run_end.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_life.h"

#include <compare>
#include <cstdint>
#include <string>

namespace poplarpitch {

/// What a committed command changed, for the leader's own bookkeeping.
struct book_event {
    enum class kind : std::uint8_t {
        job_accepted, ///< `run.task.step.job`
        job_ended,    ///< `run.task.step.job`: completed, failed or cancelled
        run_assigned, ///< `run` to `worker`
        run_refused,  ///< `run` to `worker` was not assigned: its job or task had moved on
        run_ended,    ///< `run` on `worker` with `end`; `number` of the worker's list
        task_crashed, ///< `worker` crashed under `run`, the `number`th one under its task
        step_done,    ///< `run.task.step`
        config_changed,
        worker_retired, ///< `worker`
        fence_raised,   ///< orders may carry a fence that none carried before
    };

    kind what = kind::job_accepted;
    run_key run;
    worker_life worker;
    run_end end = run_end::done;
    std::uint64_t number = 0;
    crash_evidence crash = crash_evidence::none; ///< of an end, or of `task_crashed`
    std::int64_t age_ms = 0;                     ///< how long the run was there; 0 while unknown

    friend auto operator<=>(const book_event&, const book_event&) = default;
};

} // namespace poplarpitch

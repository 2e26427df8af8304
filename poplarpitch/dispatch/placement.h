#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/placement_obstacle.h"
#include "poplarpitch/dispatch/pressure_model.h"
#include "poplarpitch/dispatch/suspect_watch.h"
#include "poplarpitch/scheduling/step_spec.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

struct worker_state;

/// What a placement is asked for.
struct placement_request {
    const step_spec* spec = nullptr;
    step_key step;
    image_number image = 0;      ///< of what the task runs; only of tasks that fill or serve
    std::vector<double> factors; ///< for tasks that fill: of its image beside each serving one, by number
    const std::vector<worker_life>* avoided = nullptr; ///< workers on which the task failed; null for none
    bool is_last_attempt = false;                      ///< a worker whose last run failed is no choice
    bool is_starving = false; ///< nothing of its job runs: a task that fills takes less than it asks for
    isolation_level isolation = isolation_level::none;
    bool may_wait = false;   ///< a task that is to be alone waits for a worker of its own
    bool is_overdue = false; ///< it may wait no longer: also a worker that is kept for a suspect will do
    std::string rack;        ///< only this rack; empty for any
    worker_life excluded;    ///< a worker that is no choice: a copy is to run elsewhere

    friend bool operator==(const placement_request&, const placement_request&) = default;

    /// Returns true while the task waits for a worker that runs nothing. Thread safety: any thread.
    [[nodiscard]] bool wants_own_worker() const { return isolation == isolation_level::alone && may_wait; }
    /// Returns the caution that its run has at a worker: one that takes what there is keeps nobody away.
    /// Thread safety: any thread.
    [[nodiscard]] isolation_level get_run_isolation() const {
        return isolation == isolation_level::alone && !may_wait ? isolation_level::apart : isolation;
    }
};

/// Returns what a task of a step takes of a worker: the processor time of one that fills does not count.
/// Thread safety: any thread.
[[nodiscard]] worker_amounts get_need(const step_spec& spec);

/// Returns why the worker may be given no work at all; `none` where it may. Thread safety: any thread while
/// nobody changes it.
[[nodiscard]] placement_obstacle find_unusable(const worker_state& worker, time_point now);

/// Returns true when the worker may be given work at all. Thread safety: as above.
[[nodiscard]] bool is_usable(const worker_state& worker, time_point now);

/// Returns what keeps a task from a usable worker; `none` where it may go there. Thread safety: as above.
[[nodiscard]] placement_obstacle find_obstacle(const worker_state& worker, const placement_request& request);

/// Returns the most processor time, millicores, that a task of the request's kind may ask for on a worker;
/// less than 0 where none may go there. For a task that fills it is bounded by what serving tasks bear beside
/// them. Thread safety: as above.
[[nodiscard]] std::int64_t get_room(const worker_state& worker, const placement_request& request);

/// Returns the cost of placing a task on a worker, lower is better, or nothing when it must not go there.
///
/// Tasks whose answers are watched reserve most of a deployment and use less than half of it: tasks that fill
/// must go beside them. A filling task goes where the tails stay below their limit by what is known of the
/// images, and serving tasks of one image go together, so that each worker bears more kinds of filling tasks.
/// Workers without serving tasks are left to those that press hard. A task that may have crashed a worker
/// goes where the next crash would take least along. Thread safety: as above.
[[nodiscard]] std::optional<double> get_placement_cost(const worker_state& worker,
                                                       const placement_request& request);

} // namespace poplarpitch

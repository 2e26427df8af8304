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

/// Describes a task to be placed.
struct placement_request {
    const step_spec* spec = nullptr;
    step_key step;
    image_number image = 0;      ///< image of the task; only for tasks that fill or serve
    std::vector<double> factors; ///< for filling tasks: interference factor of the task's image beside each
                                 ///< serving image, by number
    const std::vector<worker_incarnation>* avoided =
        nullptr;                  ///< workers on which the task failed; null for none
    bool is_last_attempt = false; ///< excludes workers whose last run failed
    bool is_starving = false;     ///< no task of the job runs: a filling task accepts less than it requests
    isolation_level isolation = isolation_level::none;
    bool may_wait = false;       ///< a task that must run alone waits for a worker without other runs
    bool is_overdue = false;     ///< the task has waited too long: it passes over soft obstacles, and uses
                                 ///< workers that are set aside if no other has room
    std::string rack;            ///< restricts the choice to this rack; empty for any
    worker_incarnation excluded; ///< this worker is not allowed: a copy has to run elsewhere

    friend bool operator==(const placement_request&, const placement_request&) = default;

    /// Returns true while the task waits for a worker without other runs. Thread safety: any thread.
    [[nodiscard]] bool wants_own_worker() const { return isolation == isolation_level::alone && may_wait; }
    /// Returns the isolation of the run at a worker. A task that no longer waits for a worker of its own does
    /// not exclude others. Thread safety: any thread.
    [[nodiscard]] isolation_level get_run_isolation() const {
        return isolation == isolation_level::alone && !may_wait ? isolation_level::apart : isolation;
    }
};

/// Returns what a task of a step reserves on a worker. The processor time of a filling task is not reserved.
/// Thread safety: any thread.
[[nodiscard]] worker_amounts get_need(const step_spec& spec);

/// Returns why no task at all may be placed on the worker, or `none`. Thread safety: any thread while nobody
/// changes it.
[[nodiscard]] placement_obstacle find_unusable(const worker_state& worker, time_point now);

/// Returns true when tasks may be placed on the worker. Thread safety: as above.
[[nodiscard]] bool is_usable(const worker_state& worker, time_point now);

/// Returns true when the worker is set aside for another reason than a refusal, and nothing else rules it
/// out. Such a worker may fail or slow a task, so only overdue tasks for which no other worker has room are
/// placed on it. Thread safety: as above.
[[nodiscard]] bool is_last_resort(const worker_state& worker, time_point now);

/// Returns the obstacle that rules out a usable worker for a task, or `none`. Soft obstacles only make a
/// worker a worse choice. They have no bound in time, so a task that is overdue passes over them at a cost.
/// Thread safety: as above.
[[nodiscard]] placement_obstacle find_obstacle(const worker_state& worker, const placement_request& request);

/// Returns the most processor time, in millicores, that a task of the request's kind may request on a worker.
/// The result is negative where no such task may be placed. For a filling task it is bounded by the
/// interference that the serving tasks tolerate. Thread safety: as above.
[[nodiscard]] std::int64_t get_room(const worker_state& worker, const placement_request& request);

/// Returns the cost of placing a task on a worker, lower is better, or nothing when the worker is ruled out.
///
/// Serving tasks reserve most of a deployment and use less than half of it, so filling tasks are placed
/// beside them. A filling task goes where the predicted tail latencies stay below their limit. Serving tasks
/// of one image are placed together, so that each worker bears more kinds of filling tasks. Workers without
/// serving tasks are kept for filling tasks with high interference. A task that may have crashed a worker
/// goes where another crash would end the least work. Thread safety: as above.
[[nodiscard]] std::optional<double> get_placement_cost(const worker_state& worker,
                                                       const placement_request& request);

/// Returns how many tasks like the requested one the worker has room for, up to `limit`. Soft obstacles do
/// not count. Thread safety: any thread while nobody changes the worker.
[[nodiscard]] std::uint64_t count_fitting(const worker_state& worker, const placement_request& request,
                                          std::uint64_t limit);

} // namespace poplarpitch

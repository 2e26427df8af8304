#pragma once

#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/scheduling/step_spec.h"
#include "poplarpitch/scheduling/task_key.h"

#include <set>
#include <vector>

namespace poplarpitch {

/// A step of an open job with a task whose turn has come: all steps that it depends on are done, and the task
/// itself is not.
struct due_step {
    step_key step;
    const step_spec* spec = nullptr;

    friend bool operator==(const due_step&, const due_step&) = default;
};

/// Returns the due steps of these jobs, in order, and removes the jobs that have ended. `done` are tasks that
/// ended as done at a worker; they count as done although the log may not have their ends yet. Jobs with a
/// schedule are not supported. The result is valid until a job is removed. Thread safety: any thread while
/// nobody changes the state.
[[nodiscard]] std::vector<due_step> find_due_steps(const job_state_machine& job_state, std::set<job_id>& jobs,
                                                   const std::set<task_key>& done);

} // namespace poplarpitch

#pragma once

#include "poplarpitch/scheduling/crash_history.h"
#include "poplarpitch/scheduling/job_phase.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/worker_incarnation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarpitch {

/// A run that was assigned to a worker and has not ended.
struct assigned_run {
    std::uint32_t run = 0;
    worker_incarnation worker;
    std::string address;       ///< of the worker, so that a new leader can ask it about the run
    bool is_confirmed = false; ///< no start of it can reach a later incarnation of the worker; only recorded
                               ///< for long-running tasks

    friend auto operator<=>(const assigned_run&, const assigned_run&) = default;
};

/// The replicated state of one task.
struct task_record {
    task_phase phase = task_phase::waiting;
    std::uint32_t last_run = 0;                ///< highest run number assigned so far
    std::uint32_t failures = 0;                ///< ended runs that count against the queue's `max_attempts`
    std::string checkpoint;                    ///< newest checkpoint; empty for none
    std::vector<assigned_run> runs;            ///< more than one only for speculative copies
    crash_history crash;                       ///< crashes of workers while they ran the task
    std::vector<worker_incarnation> failed_on; ///< workers of its last runs that ended as failed, the newest
                                               ///< last

    /// Records the worker of a run that ended as failed. Only the last `max_failed_on` are kept. Thread
    /// safety: none.
    void record_failure(const worker_incarnation& worker);

    static constexpr std::size_t max_failed_on = 8; ///< more than queues usually allow attempts

    friend bool operator==(const task_record&, const task_record&) = default;
};

/// The tasks of one step in one occurrence.
struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;            ///< number of done tasks; derived from `tasks`
    std::uint32_t last_failed_run = 0; ///< of a gang: the newest run that counts as a failed attempt

    friend bool operator==(const step_record&, const step_record&) = default;

    /// Returns true when all tasks are done. Thread safety: any thread while no thread modifies the object.
    [[nodiscard]] bool is_done() const { return done == tasks.size(); }
    /// Returns how many attempts of the step's gang have failed. At most one member's end counts in each run.
    /// Precondition: the step is a gang. Thread safety: as above.
    [[nodiscard]] std::uint32_t count_gang_failures() const;
};

/// An occurrence that is due or has started.
struct occurrence_record {
    std::vector<step_record> steps;
    bool is_done = false; ///< all of its steps are done

    friend bool operator==(const occurrence_record&, const occurrence_record&) = default;
};

/// The replicated state of one job.
struct job_record {
    std::shared_ptr<const step_job> job;
    job_phase phase = job_phase::open;
    std::uint64_t sequence = 0; ///< order of acceptance
    std::uint32_t occurrences_done = 0;
    std::map<std::uint32_t, occurrence_record> occurrences; ///< those created so far

    /// Returns the task, or null when the occurrence has not started, was dropped or a number is out of
    /// range. Thread safety: none.
    [[nodiscard]] task_record* find_task(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index);
    /// Returns the step, or null when the occurrence has not started, was dropped or the step number is out
    /// of range. Thread safety: any thread while no thread modifies the object.
    [[nodiscard]] const step_record* find_step(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns true when all steps that `step` depends on are done. Thread safety: as above.
    [[nodiscard]] bool may_begin(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns the occurrence; creates it when it is missing. Precondition: `occurrence` is less than the
    /// number of occurrences of the job.
    occurrence_record& get_occurrence(std::uint32_t occurrence);
};

} // namespace poplarpitch

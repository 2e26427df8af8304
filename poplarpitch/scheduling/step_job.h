#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"
#include "poplarpitch/scheduling/queue_settings.h"
#include "poplarpitch/scheduling/step_spec.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Recurrence of a job.
struct job_schedule {
    std::uint32_t count = 0;      ///< number of occurrences
    std::int64_t first_ms = 0;    ///< wall time of occurrence 0, milliseconds since 1970
    std::int64_t interval_ms = 0; ///< between two occurrences, which may overlap

    friend auto operator<=>(const job_schedule&, const job_schedule&) = default;
};

/// A job as submitted by its caller.
struct step_job {
    job_id id = 0;
    std::string payload; ///< passed to the tasks; not interpreted here
    std::vector<step_spec> steps;
    std::optional<job_schedule> schedule; ///< nothing: the job runs once, immediately
    queue_settings queue;                 ///< as configured at acceptance
    std::int64_t accepted_ms = 0;         ///< wall time on the instance that accepted it
    std::string caller_data_centre; ///< of the entry instance that relayed the submission; empty when unknown

    friend bool operator==(const step_job&, const step_job&) = default;

    /// Returns the total number of occurrences. Thread safety: any thread.
    [[nodiscard]] std::uint32_t get_occurrence_count() const;
    /// Returns the task under whose key the failed attempts of a task are kept. The members of a gang share
    /// theirs under the first one. Thread safety: any thread.
    [[nodiscard]] task_key get_attempt_key(const task_key& key) const;
    /// Returns the millicores that the job's long-running steps reserve, except for filling ones. Thread
    /// safety: any thread.
    [[nodiscard]] std::int64_t get_long_running_millicores() const;
    /// Returns the duration of the critical path, in milliseconds; `durations_ms` has the duration of each
    /// step. Precondition: one duration for each step. Thread safety: any thread.
    [[nodiscard]] std::int64_t get_critical_path_ms(const std::vector<std::int64_t>& durations_ms) const;
    /// Returns the time within which the job has to end after its acceptance, or an occurrence after it
    /// became due, to meet the objective; `durations_ms` has the duration of each step. Precondition: one
    /// duration for each step. Thread safety: any thread.
    [[nodiscard]] duration get_objective(const std::vector<std::int64_t>& durations_ms) const;
    /// Returns the time from the start of step `first` to the end of the last step that depends on it, in
    /// milliseconds; `durations_ms` has the duration of each step. Precondition: one duration for each step.
    /// Thread safety: any thread.
    [[nodiscard]] std::int64_t get_remaining_path_ms(std::uint32_t first,
                                                     const std::vector<std::int64_t>& durations_ms) const;
};

/// Returns why a job is invalid, or nothing when it is valid. Checks sizes and counts, that steps depend on
/// earlier steps only, and that no amount is negative. Thread safety: any thread.
[[nodiscard]] std::optional<std::string> validate_job(const step_job& job);

} // namespace poplarpitch

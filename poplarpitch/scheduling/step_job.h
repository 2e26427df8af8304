#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"
#include "poplarpitch/scheduling/queue_settings.h"
#include "poplarpitch/scheduling/step_spec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// When a job runs again and again.
struct job_schedule {
    std::uint32_t count = 0;      ///< occurrences
    std::int64_t first_ms = 0;    ///< wall time of occurrence 0, milliseconds since 1970
    std::int64_t interval_ms = 0; ///< between two occurrences, which may overlap

    friend auto operator<=>(const job_schedule&, const job_schedule&) = default;
};

/// A job as its caller submitted it.
struct step_job {
    job_id id = 0;
    std::string payload; ///< for the tasks; not read here
    std::vector<step_spec> steps;
    std::optional<job_schedule> schedule; ///< nothing: runs once, at once
    queue_settings queue;                 ///< as it stood at acceptance
    std::int64_t accepted_ms = 0;         ///< wall time of the instance that accepted it

    friend bool operator==(const step_job&, const step_job&) = default;

    /// Returns how many occurrences there are in all. Thread safety: any thread.
    [[nodiscard]] std::uint32_t get_occurrence_count() const;
    /// Returns what the job reserves for as long as it lasts, millicores. Thread safety: any thread.
    [[nodiscard]] std::int64_t get_lasting_millicores() const;
    /// Returns the time of the longest chain of steps, milliseconds, by what each of them takes.
    /// Precondition: one length for each step. Thread safety: any thread.
    [[nodiscard]] std::int64_t get_critical_path_ms(const std::vector<std::int64_t>& lengths_ms) const;
    /// Returns how long after acceptance the job, or an occurrence after it fell due, may end and still be
    /// in time, by what each step takes. Precondition: one length for each step. Thread safety: any thread.
    [[nodiscard]] duration get_objective(const std::vector<std::int64_t>& lengths_ms) const;
    /// Returns the time from the start of a step to the end of the last one behind it, milliseconds, by what
    /// each step takes. Precondition: one length for each step. Thread safety: any thread.
    [[nodiscard]] std::int64_t get_rest_ms(std::uint32_t first,
                                           const std::vector<std::int64_t>& lengths_ms) const;
};

/// Returns why a job cannot be taken, or nothing when it is sound: counts, dependencies on earlier steps
/// only, no negative amounts. Thread safety: any thread.
[[nodiscard]] std::optional<std::string> find_job_error(const step_job& job);

} // namespace poplarpitch

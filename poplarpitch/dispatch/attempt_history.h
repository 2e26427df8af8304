#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/dispatch/failed_attempts.h"
#include "poplarpitch/scheduling/job_id.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstdint>
#include <map>

namespace poplarpitch {

struct job_record;
struct worker_incarnation;

/// What the leader knows of failed attempts: on which workers and when a task or gang failed, and which runs
/// of gangs it has proposed to count. A new leader rebuilds the former from the replicated state, which also
/// has the number of failed attempts. Keys are those of `step_job::get_attempt_key`. Thread safety: none, as
/// for all methods.
class attempt_history {
public:
    void clear();
    /// Adds the failures of a job's tasks according to the replicated state, as of now.
    void restore(const job_record& record, time_point now);
    void forget_job(job_id id);
    /// Records a run that ended as failed on a worker.
    void record_failure(const task_key& key, const worker_incarnation& worker, time_point now);
    /// Returns the failures of a task or gang, or null when none is known.
    [[nodiscard]] const failed_attempts* find(const task_key& key) const;
    /// Returns true when a failure of a task of the step is known.
    [[nodiscard]] bool has_any(const step_key& key) const;
    /// Returns true when the end of this run of a gang's member as failed is to count as an attempt. Members
    /// on several workers may fail in one run. The gang has failed once then, so only the first of these ends
    /// counts. `last_counted_run`: the newest run of the gang that counts by the replicated state.
    [[nodiscard]] bool claim_gang_attempt(const run_key& run, std::uint32_t last_counted_run);

private:
    std::map<task_key, failed_attempts> m_failed;
    std::map<step_key, std::uint32_t> m_claimed; ///< by gang: the newest run of which an end is to count
};

} // namespace poplarpitch

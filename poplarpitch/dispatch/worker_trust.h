#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <cstdint>

namespace poplarpitch {

/// Whether a worker may be given work, by what became of the work it had.
///
/// Load pattern: some workers fail all they start, at once, and so look empty and attract the next tasks; a
/// task has only two to four attempts. One failure may be the task's own fault (0.5 to 5% of all runs, and
/// all runs of a job that can never be done), so it only rests the worker for a moment; failures of two jobs
/// in a row without a success between them set it aside, longer each time. Thread safety: none, as for all
/// methods.
class worker_trust {
public:
    /// Notes a run of `job` that ended well.
    void on_success();
    /// Notes a run of `job` that failed.
    void on_failure(job_id job, time_point now);
    /// Notes that the worker refused everything or made no progress.
    void on_refusal(time_point now);
    /// Notes that the worker is slow or stands still, whatever runs there.
    void on_unsound(time_point now);
    /// Returns true while no task is to go there.
    [[nodiscard]] bool is_set_aside(time_point now) const { return now < m_until; }
    /// Returns true when its last run failed: a task with one attempt left goes elsewhere.
    [[nodiscard]] bool is_doubtful() const { return m_failures > 0; }

private:
    std::uint32_t m_failures = 0;        ///< jobs that failed in a row
    std::uint32_t m_times_set_aside = 0; ///< times in a row it was set aside
    job_id m_last_failed = 0;
    time_point m_until{};
};

} // namespace poplarpitch

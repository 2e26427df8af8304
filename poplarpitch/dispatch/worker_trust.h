#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/job_id.h"

#include <cstdint>

namespace poplarpitch {

/// Decides from the outcome of earlier runs whether a worker may be given work.
///
/// Load pattern: some workers fail every run at once. They look empty and so attract the next tasks, while a
/// task has only two to four attempts. A single failure may be the task's own fault (0.5 to 5% of all runs,
/// and all runs of a job that can never succeed), so it only pauses the worker for a moment. Failures of two
/// different jobs without a success in between set it aside, longer each time. Tasks whose wait is limited
/// may use it nevertheless, except just after a refusal. Thread safety: none, as for all methods.
class worker_trust {
public:
    /// Records a successful run.
    void on_success();
    /// Records a failed run of `job`.
    void on_failure(job_id job, time_point now);
    /// Records that the worker refused everything or made no progress.
    void on_refusal(time_point now);
    /// Records that the worker is slow or stalled, whatever runs there.
    void on_unsound(time_point now);
    /// Returns true while no task may be placed on the worker.
    [[nodiscard]] bool is_set_aside(time_point now) const { return now < m_until; }
    /// Returns true shortly after a refusal, while another start would be refused too.
    [[nodiscard]] bool is_refusing(time_point now) const { return now < m_refuses_until; }
    /// Returns how much longer no task may be placed on the worker; zero or less while tasks may.
    [[nodiscard]] duration get_time_left(time_point now) const { return m_until - now; }
    /// Returns true when the worker's last run failed: a task with one attempt left is placed elsewhere.
    [[nodiscard]] bool is_doubtful() const { return m_failures > 0; }
    /// Returns true when the last run that this leader saw end on the worker succeeded.
    [[nodiscard]] bool is_proven() const { return m_is_proven; }

private:
    bool m_is_proven = false;            ///< the last run succeeded
    std::uint32_t m_failures = 0;        ///< distinct jobs that failed in a row
    std::uint32_t m_times_set_aside = 0; ///< consecutive times that it was set aside
    job_id m_last_failed = 0;
    time_point m_refuses_until{};
    time_point m_until{};
};

} // namespace poplarpitch

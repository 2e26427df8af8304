#pragma once

#include "poplarpitch/dispatch/duration_model.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Forecasts how long the steps of open jobs take: ended steps by their measured times, the others by what
/// was learned from the steps of their queue.
///
/// The forecast determines a job's objective and whether it can still be met. With the callers' estimates
/// alone, which are off by a factor of 2.5 in either direction, a job with a low estimate counted as late
/// when it had barely started, and waited behind all others. Thread safety: none, as for all methods.
class work_forecast {
public:
    /// Records a run that was done and did not resume from a checkpoint.
    void on_done(const task_key& task, std::int64_t took_ms);
    /// Records a failed run. The objective allows for its time.
    void on_failed(const task_key& task, std::int64_t took_ms);
    /// Records that all tasks of a step are done.
    void on_step_done(const step_job& job, const step_key& step);
    /// Removes the measurements of an ended job's steps. What was learned from them stays.
    void forget(job_id job);
    /// Removes everything.
    void clear();

    static constexpr std::string_view part_name = "durations";
    static constexpr std::uint32_t format_version = 1;
    /// Returns the learned durations for the next leader, see `learned_part`.
    [[nodiscard]] std::string save(std::int64_t wall_ms, std::size_t max_bytes) const;
    /// Replaces the learned durations, see `learned_part`.
    bool load(std::string_view body, std::int64_t wall_ms);

    /// Returns how long a task of this step is expected to take, in milliseconds, by what was learned from
    /// the job's queue.
    [[nodiscard]] std::int64_t predict_ms(const step_job& job, const step_spec& step) const {
        return m_durations.predict(job.queue.name, step.estimate_ms);
    }
    /// Returns how long each step of an occurrence takes, in milliseconds, including the failed runs of its
    /// tasks.
    [[nodiscard]] std::vector<std::int64_t> get_step_durations_ms(const step_job& job,
                                                                  std::uint32_t occurrence) const;

private:
    /// Measurements of the tasks of one step.
    struct step_times {
        std::int64_t longest_ms = 0; ///< of the runs that were done; 0 while there are none
        bool is_done = false;
        std::map<std::uint32_t, std::int64_t> failed_ms; ///< total time of the failed runs, by task

        [[nodiscard]] std::int64_t get_max_failed_time_ms() const;
    };

    duration_model m_durations;
    std::map<step_key, step_times> m_steps;
};

} // namespace poplarpitch

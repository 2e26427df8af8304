#pragma once

#include "poplarpitch/dispatch/duration_model.h"
#include "poplarpitch/scheduling/step_job.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstdint>
#include <map>
#include <vector>

namespace poplarpitch {

/// How long the steps of open jobs take: those that ended by what was seen, the others by what is learned
/// from the steps of their queue.
///
/// It decides what a job's objective is and whether it can still be met. By the callers' guesses alone, which
/// are off by a factor of 2.5 either way, a job of a low guess was taken for lost when its time had barely
/// begun, and waited behind all others. Thread safety: none, as for all methods.
class work_forecast {
public:
    /// Notes a run that was done and began from nothing.
    void on_done(const task_key& task, std::int64_t took_ms);
    /// Notes a run that failed: the objective allows for its time.
    void on_failed(const task_key& task, std::int64_t took_ms);
    /// Notes that all tasks of a step are done.
    void on_step_done(const step_job& job, const step_key& step);
    /// Drops what is known of the steps of an ended job; what was learned stays.
    void forget(job_id job);
    /// Forgets all.
    void clear();

    /// Returns how long each step of an occurrence takes, milliseconds: with the failed runs of its tasks.
    [[nodiscard]] std::vector<std::int64_t> get_lengths_ms(const step_job& job,
                                                           std::uint32_t occurrence) const;

private:
    /// What was seen of the tasks of one step.
    struct step_times {
        std::int64_t longest_ms = 0; ///< of the runs that were done; 0 while there is none
        bool is_done = false;
        std::map<std::uint32_t, std::int64_t> failed_ms; ///< time of the failed runs, by task

        [[nodiscard]] std::int64_t get_longest_failed_ms() const;
    };

    duration_model m_durations;
    std::map<step_key, step_times> m_steps;
};

} // namespace poplarpitch

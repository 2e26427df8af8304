#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/step_spec.h"
#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_report.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// A run as its worker sees it.
struct watched_run {
    task_key task;
    const step_spec* spec = nullptr;
};

/// A worker as seen at the worker itself.
struct watched_worker {
    const worker_report* report = nullptr; ///< its capacity, labels and whether it is draining
    bool is_up = false;
    bool is_sound = false; ///< it is reachable and no disruption affects it
    std::vector<watched_run> runs;
};

/// A long-running task that stood still although workers had room for it.
struct stalled_task {
    task_key task;
    time_point last_run{};     ///< end of its last run, or when its job was accepted
    time_point room_since{};   ///< since when there has been room for it twice over
    time_point disrupted_at{}; ///< time of the last disruption
    duration waited{};         ///< from `last_run` until it ran again or there was no room for it

    friend bool operator==(const stalled_task&, const stalled_task&) = default;
};

/// Describes a stalled task in a test's message. Thread safety: any thread.
[[nodiscard]] std::string describe(const stalled_task& item);

/// Finds long-running tasks that do not run although workers have room for them.
///
/// A long-running task has to run again within 6 s after its last run ended, or after its job was accepted.
/// From then on it must not stand still for 3 s in which there is room for it twice over and which, with the
/// 4 s before them, are free of disruptions. The watch judges only by what the workers run and offer, never
/// by the leader's records. Thread safety: none, as for all methods.
class long_running_watch {
public:
    /// Adds a long-running task whose job was accepted at `now`. Precondition: `spec` outlives the watch.
    void add_task(const task_key& task, const step_spec& spec, time_point now);
    /// Removes the tasks of a job that was cancelled.
    void remove_job(job_id job);
    /// Records that a disruption happens or lasts at `now`.
    void record_disruption(time_point now) { m_disrupted_at = now; }
    /// Judges the state of all workers at `now`. Precondition: `now` never decreases.
    void observe(const std::vector<watched_worker>& workers, time_point now);
    /// Returns the tasks that stood still for too long, in the order in which they were found. A task is
    /// reported once for each wait.
    [[nodiscard]] const std::vector<stalled_task>& get_stalled() const { return m_stalled; }
    /// Returns how many tasks are watched.
    [[nodiscard]] std::size_t count_tasks() const { return m_tasks.size(); }

private:
    struct watched_task {
        const step_spec* spec = nullptr;
        time_point last_run{};
        std::optional<time_point> room_since;
        std::optional<std::size_t> report; ///< index in `m_stalled` while it stands still
        bool had_room_since = false;       ///< there has been room for it ever since it was reported
    };

    void judge(const task_key& task, watched_task& state, const std::vector<watched_worker>& workers,
               time_point now);

    std::map<task_key, watched_task> m_tasks;
    std::optional<time_point> m_disrupted_at;
    std::vector<stalled_task> m_stalled;
};

/// Returns how many more tasks of a step fit into `free` on one worker that runs `of_step` tasks of it, up to
/// `most`. Thread safety: any thread.
[[nodiscard]] std::size_t count_fitting_tasks(const step_spec& spec, worker_amounts free, std::size_t of_step,
                                              std::size_t most);

/// Returns how many more tasks of a step fit on the workers that are up, sound and not draining, up to
/// `most`. Thread safety: any thread while nobody changes the workers.
[[nodiscard]] std::size_t count_room(const step_key& step, const step_spec& spec,
                                     const std::vector<watched_worker>& workers, std::size_t most);

} // namespace poplarpitch

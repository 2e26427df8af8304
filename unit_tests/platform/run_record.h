#pragma once

#include "unit_tests/platform/run_interval.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// History of what the simulated workers did with each task. It checks at the workers' side that no task runs
/// twice at once or again after its acknowledged end. Thread safety: any thread, for all methods.
class run_record {
public:
    /// Records that a run starts on `worker`.
    void add_start(const std::string& task, std::uint32_t run, const std::string& worker);
    /// Records that a start was sent to a worker on which another run of the task is active.
    void add_concurrent_start(const std::string& task, std::uint32_t run, const std::string& worker);
    /// Records that a run ends with `outcome`.
    void add_end(const std::string& task, std::uint32_t run, const std::string& worker,
                 const std::string& outcome);
    /// Records that the scheduler acknowledged to the worker that a run ended as done.
    void add_acknowledged_end(const std::string& task, std::uint32_t run);
    /// Records that the worker's lease expired before the end of a run that ended as done was acknowledged.
    /// The task may run again.
    void add_lapsed_end(const std::string& task, std::uint32_t run);
    /// Adds a line to the task's history that may explain other entries.
    void add_note(const std::string& task, const std::string& what);

    /// Returns how often a task was started while another run of it was active.
    [[nodiscard]] int get_concurrent_start_count() const;
    /// Returns how often a task was started although an end of it as done had been acknowledged.
    [[nodiscard]] int get_starts_after_done() const;
    /// Returns the number of active runs.
    [[nodiscard]] int get_running_count() const;
    /// Returns the number of runs that ended as done, by task.
    [[nodiscard]] std::map<std::string, int> get_done_counts() const;
    /// Returns the number of starts, by task.
    [[nodiscard]] std::map<std::string, int> get_start_counts() const;
    /// Returns all runs in the order of their starts.
    [[nodiscard]] std::vector<run_interval> get_intervals() const;
    /// Returns the history of all tasks that violated a guarantee, and of those whose name starts with
    /// `prefix`.
    [[nodiscard]] std::string describe(const std::string& prefix = "none") const;

private:
    struct done_end {
        bool is_acknowledged = false;
        int starts_since = 0;
    };
    struct task_record {
        int running = 0;
        int done = 0;
        int starts = 0;
        std::map<std::uint32_t, done_end> done_ends; ///< by run, without lapsed unacknowledged ends
        bool has_violation = false;
        std::vector<std::string> history;
    };

    void add_history_line(task_record& record, const std::string& what)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, task_record> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::vector<run_interval> m_intervals ABSL_GUARDED_BY(m_mutex);
    int m_concurrent_starts ABSL_GUARDED_BY(m_mutex) = 0;
    int m_starts_after_done ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace poplarpitch

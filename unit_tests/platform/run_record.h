#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarpitch {

/// What stand-in workers did with each task, in order: the check of what must run once stands here, at the
/// workers' side. Thread safety: any thread, for all methods.
class run_record {
public:
    /// A run begins; `where` names its worker.
    void add_start(const std::string& task, std::uint32_t run, const std::string& worker);
    /// A start came to a worker at which another run of the task goes on.
    void add_concurrent_start(const std::string& task, std::uint32_t run, const std::string& worker);
    /// A run ends as `how`.
    void add_end(const std::string& task, std::uint32_t run, const std::string& worker,
                 const std::string& outcome);
    /// A worker was told to forget that a run ended as done: that end is noted.
    void add_acknowledged_end(const std::string& task, std::uint32_t run);
    /// The lease of the worker where a run ended as done lapsed before that was noted: it may run again.
    void add_lapsed_end(const std::string& task, std::uint32_t run);
    /// Adds what may explain the rest.
    void add_note(const std::string& task, const std::string& what);

    [[nodiscard]] int get_overlaps() const;
    [[nodiscard]] int get_starts_after_done() const;
    [[nodiscard]] int get_running_count() const;
    [[nodiscard]] std::map<std::string, int> get_done_counts() const;
    [[nodiscard]] std::map<std::string, int> get_start_counts() const;
    /// Returns all that was noted of the tasks that broke a promise, and of those whose name begins so.
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
        std::map<std::uint32_t, done_end> done_ends; ///< by run, but those that count for nothing
        bool has_violation = false;
        std::vector<std::string> history;
    };

    void add_history_line(task_record& record, const std::string& what)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, task_record> m_tasks ABSL_GUARDED_BY(m_mutex);
    int m_overlaps ABSL_GUARDED_BY(m_mutex) = 0;
    int m_starts_after_done ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace poplarpitch

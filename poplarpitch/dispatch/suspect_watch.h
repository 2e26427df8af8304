#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace poplarpitch {

/// How strictly a task is isolated that ran on workers when they crashed.
enum class isolation_level : std::uint8_t {
    none,
    apart, ///< away from other suspects, on the worker where a crash would end the least work
    alone, ///< on a worker of its own, which takes no other tasks meanwhile
};

/// Returns the level's name for logs. Thread safety: any thread.
constexpr const char* get_isolation_name(isolation_level isolation) {
    switch (isolation) {
    case isolation_level::none:
        return "none";
    case isolation_level::apart:
        return "apart";
    case isolation_level::alone:
        return "alone";
    }
    return "unknown";
}

/// Returns how many of `workers` may be reserved for one suspect each at a time. Thread safety: any thread.
[[nodiscard]] std::size_t get_max_probations(std::size_t workers);

/// Tracks which tasks may have caused the crash of a worker, and when each may be started again.
///
/// Load pattern: a task that crashes its worker within 10 ms of each start, beside eight neighbours on
/// average. After its first crash all nine are suspects. They are then placed apart, so only the task at
/// fault is present at the second crash. Few tasks reach a second crash, and each of these is started again
/// after a pause, alone. The counts are part of the replicated job state, and a new leader starts from them.
/// Thread safety: none, as for all methods.
class suspect_watch {
public:
    /// Records that `crashes` workers in total crashed while they ran the task, 0 for none.
    void record_crashes(const task_key& task, std::uint32_t crashes, time_point now);
    /// Removes a task that is cleared of suspicion or has ended.
    void forget(const task_key& task) { m_suspects.erase(task); }
    /// Removes all tasks of a job.
    void forget_job(job_id job);
    void clear() { m_suspects.clear(); }

    [[nodiscard]] isolation_level get_isolation(const task_key& task) const;
    /// Returns true when a task of the step is a suspect.
    [[nodiscard]] bool has_any(const step_key& step) const;
    /// Returns true when the pause after the task's last crash is over, and for a task that is no suspect.
    [[nodiscard]] bool may_start(const task_key& task, time_point now) const;
    /// Returns true while a task that must run alone waits for a worker of its own. Later it accepts any
    /// worker.
    [[nodiscard]] bool may_wait(const task_key& task, time_point now) const;
    [[nodiscard]] std::size_t get_size() const { return m_suspects.size(); }

private:
    struct suspect {
        std::uint32_t crashes = 0;
        time_point recorded_at{};
    };

    std::map<task_key, suspect> m_suspects;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/task_key.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace poplarpitch {

/// How carefully a task is placed that was there when workers crashed.
enum class isolation_level : std::uint8_t {
    none,
    apart, ///< away from other suspects, where its worker has least to lose
    alone, ///< on a worker of its own, which takes nothing else meanwhile
};

/// Returns the caution's name for logs. Thread safety: any thread.
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

/// Returns how many of so many workers may be kept for one suspect each at a time. Thread safety: any thread.
[[nodiscard]] std::size_t get_max_probations(std::size_t workers);

/// Which tasks may be at fault for the crash of a worker, and when each may be tried again.
///
/// Load pattern: a task that ends its worker within 10 ms of each start, beside eight neighbours on average.
/// After its first crash all nine are suspects; kept apart, only the one at fault is there at the second. Few
/// tasks come to a second crash: each is tried after a pause, alone. Soft: the counts stand in the book, a
/// new leader begins with them. Thread safety: none, as for all methods.
class suspect_watch {
public:
    /// Takes that `crashes` workers in all crashed under the task, 0 for none.
    void record_crashes(const task_key& task, std::uint32_t crashes, time_point now);
    /// Takes that the task is at fault for nothing, or has ended.
    void forget(const task_key& task) { m_suspects.erase(task); }
    /// Forgets all tasks of a job.
    void forget_job(job_id job);
    void clear() { m_suspects.clear(); }

    [[nodiscard]] isolation_level get_isolation(const task_key& task) const;
    /// Returns true when a task of the step is a suspect.
    [[nodiscard]] bool has_any(const step_key& step) const;
    /// Returns true when the pause after its last crash is over, also of a task that is no suspect.
    [[nodiscard]] bool may_start(const task_key& task, time_point now) const;
    /// Returns true while a task that is to be alone waits for a worker of its own; later it takes what there
    /// is.
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

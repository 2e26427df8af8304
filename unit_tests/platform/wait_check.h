#pragma once

#include "poplarpitch/core/time.h"
#include "unit_tests/platform/run_interval.h"

#include <string>
#include <utility>
#include <vector>

namespace poplarpitch {

/// Judges from the workers' side how long tasks that are to run without a break stand still. The rule: such a
/// task may not stand still for 3 s on end while workers have room for it twice over, where this time counts
/// from 6 s after its last run, or from its acceptance if it has not run, and at the earliest from 4 s after
/// the last fault. All tasks are of equal size. Thread safety: any thread, for all methods.
class wait_check {
public:
    static constexpr duration time_to_restart = std::chrono::seconds{6};
    static constexpr duration calm_before = std::chrono::seconds{4};
    static constexpr duration max_wait = std::chrono::seconds{3};

    /// `runs` are all runs at all workers, in the order of their starts. `slots` is the number of tasks that
    /// the workers that are not lost run at the same time. `calm_since` is the time of the last fault, and
    /// `now` the end of the observation.
    wait_check(std::vector<run_interval> runs, int slots, time_point calm_since, time_point now);

    /// Returns how long a task stood still against the rule, which is the longest time on end with room after
    /// the time that the rule leaves for a restart. `due` is when the task was to run for the first time.
    [[nodiscard]] duration get_longest_wait(const std::string& task, time_point due) const;
    /// Returns how long a task did not run for the first time after `moment`: from then, or from the end of
    /// the run at that time, to the start of its next run or to the end of the observation.
    [[nodiscard]] duration get_gap_after(const std::string& task, time_point moment) const;

private:
    struct gap {
        time_point from{};
        time_point until{};
        bool is_after_run = false;
    };

    [[nodiscard]] std::vector<gap> get_gaps(const std::string& task, time_point due) const;
    /// Returns the longest time on end within these bounds in which there is room for a task twice over.
    [[nodiscard]] duration get_longest_time_with_room(time_point from, time_point until) const;

    std::vector<run_interval> m_runs;
    std::vector<std::pair<time_point, int>> m_free_slots; ///< from each of these times on
    time_point m_calm_since;
    time_point m_now;
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/scheduling/crash_evidence.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace poplarpitch {

/// Counts the workers that crashed while they ran a task, and decides when to give the task up.
///
/// A crash ends all runs on the worker, so one crash does not show which task caused it. A task is given up
/// after two crashes at which it certainly ran if the evidence of the second is `clear`, after three if that
/// of the last is `likely`, and after four in any case. The last rule is needed because the starts of such a
/// task may never be answered, and the tasks beside it may crash their workers as well. A run that lasts well
/// beyond those that ended in a crash resets the count, since a task that crashes its workers does so again.
/// The history is part of the replicated state, so the count survives changes of leader, restarts and
/// snapshots.
struct crash_history {
    std::uint32_t certain_crashes = 0; ///< crashes at which the task certainly ran
    std::uint32_t crashes = 0;         ///< workers that crashed while they ran the task since the last reset
    std::int64_t longest_ms = 0;       ///< longest time that one of the crashed runs had lasted
    std::uint32_t last_run = 0; ///< run of the last counted crash: a crash that is reported twice counts once

    friend auto operator<=>(const crash_history&, const crash_history&) = default;

    /// Records for how long a run has certainly been running, in milliseconds, whether or not it has ended. A
    /// run of at least `get_reset_run_ms()` resets the count. Thread safety: none.
    void record_run_age(std::int64_t age_ms) {
        if (crashes > 0 && age_ms >= get_reset_run_ms()) {
            *this = {0, 0, 0, last_run};
        }
    }

    /// Records that a worker crashed during run `run`, which had lasted `age_ms` milliseconds. Returns false
    /// when that crash is already counted. Thread safety: none.
    bool record_crash(std::uint32_t run, crash_evidence evidence, std::int64_t age_ms) {
        if (run == last_run) {
            return false;
        }
        last_run = run;
        ++crashes;
        certain_crashes += evidence > crash_evidence::possible ? 1 : 0;
        longest_ms = age_ms > longest_ms ? age_ms : longest_ms;
        return true;
    }

    /// Returns how long a run must last to reset the count, in milliseconds. Thread safety: any thread while
    /// no thread modifies the object.
    [[nodiscard]] std::int64_t get_reset_run_ms() const {
        return std::clamp(reset_run_multiple * longest_ms, min_reset_run_ms, max_reset_run_ms);
    }

    /// Returns true when the task is to be given up, with `last` as the evidence of its last crash. A
    /// long-running task meets many restarts of machines that it did not cause. It is given up only if all
    /// of its crashed runs were short; otherwise it runs on, without neighbours. Thread safety: as above.
    [[nodiscard]] bool should_give_up(crash_evidence last, bool is_long_running) const {
        if (is_long_running && longest_ms > max_blamed_run_ms) {
            return false;
        }
        const bool is_attributed = last == crash_evidence::clear ||
                                   (last == crash_evidence::likely && crashes >= min_crashes_if_likely);
        return (certain_crashes >= min_crashes && is_attributed) || crashes >= max_crashes;
    }

    static constexpr std::uint32_t min_crashes = 2; ///< certain crashes after which a task may be given up
    static constexpr std::uint32_t min_crashes_if_likely =
        3; ///< the same if the last crash is `likely`; a task is started at most twice more after
           ///< `min_crashes`
    static constexpr std::uint32_t max_crashes =
        4; ///< crashes after which it is given up, whether or not the task certainly ran at them
    static constexpr std::int64_t max_blamed_run_ms =
        1'000; ///< a long-running task that crashes its workers at its start does so within this time
    static constexpr std::int64_t reset_run_multiple =
        4; ///< multiple of the longest run that ended in a crash
    static constexpr std::int64_t min_reset_run_ms = 5'000; ///< a shorter run never resets the count
    // Machines also fail on their own, and this happens more than once to a task that runs for days.
    static constexpr std::int64_t max_reset_run_ms = 60'000; ///< a run of this length always resets the count
};

} // namespace poplarpitch

#pragma once

#include "poplarpitch/scheduling/crash_evidence.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace poplarpitch {

/// How many workers crashed under a task, and when that is enough to give it up.
///
/// A worker takes all its tasks along when it crashes, so one crash proves nothing against any of them. A
/// task is given up after two crashes at which it surely ran, of which the second points clearly at it, after
/// three of which the last makes it the likely one, and after four in any case: its starts may never have an
/// answer, and its neighbours may be no better. A run that lasted well beyond those that ended in a crash
/// refutes all of them: a task that crashes its workers does so again. Part of the replicated state, so the
/// count outlives leaders, restarts and snapshots.
struct crash_history {
    std::uint32_t sure = 0;      ///< of the crashes, those at which the task surely ran
    std::uint32_t crashes = 0;   ///< workers that crashed under the task, since it was refuted last
    std::int64_t longest_ms = 0; ///< longest that one of these runs had been there
    std::uint32_t last_run = 0;  ///< run that was counted last: told twice, it counts once

    friend auto operator<=>(const crash_history&, const crash_history&) = default;

    /// Takes how long a run had surely been at work, milliseconds, however it ended or goes on. Thread
    /// safety: none.
    void record_run_age(std::int64_t age_ms) {
        if (crashes > 0 && age_ms >= get_peace_ms()) {
            *this = {0, 0, 0, last_run};
        }
    }

    /// Takes that a worker crashed under run `run`, which had been there for `age_ms`. Returns false when
    /// that was counted before. Thread safety: none.
    bool record_crash(std::uint32_t run, crash_evidence evidence, std::int64_t age_ms) {
        if (run == last_run) {
            return false;
        }
        last_run = run;
        ++crashes;
        sure += evidence > crash_evidence::possible ? 1 : 0;
        longest_ms = age_ms > longest_ms ? age_ms : longest_ms;
        return true;
    }

    /// Returns how long a run must last to refute the crashes, milliseconds. Thread safety: any thread while
    /// nobody changes it.
    [[nodiscard]] std::int64_t get_peace_ms() const {
        return std::clamp(reset_run_multiple * longest_ms, min_reset_run_ms, max_reset_run_ms);
    }

    /// Returns true when the task is to be given up, by the evidence of its last crash. Thread safety: as
    /// above.
    [[nodiscard]] bool should_give_up(crash_evidence last) const {
        const bool is_attributed = last == crash_evidence::clear ||
                                   (last == crash_evidence::likely && crashes >= min_crashes_if_likely);
        return (sure >= min_crashes && is_attributed) || crashes >= max_crashes;
    }

    static constexpr std::uint32_t min_crashes = 2; ///< after which a task may be given up
    static constexpr std::uint32_t min_crashes_if_likely =
        3;                                                ///< a task is started at most twice more after them
    static constexpr std::uint32_t max_crashes = 4;       ///< whether it surely ran at them or not
    static constexpr std::int64_t reset_run_multiple = 4; ///< of the longest run that ended in a crash
    static constexpr std::int64_t min_reset_run_ms = 5'000; ///< no run that is shorter refutes anything
    // Machines fail on their own, too: a task that lasts for days meets that more than once.
    static constexpr std::int64_t max_reset_run_ms = 60'000; ///< any run that is longer does
};

} // namespace poplarpitch
